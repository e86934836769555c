"""Membership table, distribution tree and freshness of the configuration.

Holds state and decisions only; must not import the daemon, mesh or platform
packages.
"""
