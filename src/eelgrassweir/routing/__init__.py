"""Routing rules of a configuration and the choice of a call's target.

Must not import the daemon, mesh or platform packages.
"""
