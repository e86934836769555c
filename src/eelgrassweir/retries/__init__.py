"""Retry budgets of request trees and of services.

Must not import the daemon, mesh or platform packages.
"""
