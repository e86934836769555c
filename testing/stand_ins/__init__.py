"""Stand-ins for the systems that the daemons work with.

Holds backend servers, callers, two key-value stores, a TCP proxy that injects
connection faults, and an admin listener. ``http1`` is HTTP/1.1 code that is
independent of that of the daemons, which only ``platform_store`` and
``admin_daemon`` use.
"""
