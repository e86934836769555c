"""Stand-ins for the platform, the backend servers and the callers.

The scripts of the review start the daemons with the command of the deploy
file. Everything else that they need is in this package, which uses nothing but
the standard library.
"""
