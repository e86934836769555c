"""Client of the platform's key-value store and types of its contents.

Must not import the daemon, mesh or platform packages.
"""
