"""Stand-ins for the systems that the daemons work with.

Holds backend servers, callers, two key-value stores, a TCP proxy that injects
connection faults, and an admin listener. ``http1`` is their HTTP/1.1 code;
they don't use that of the daemons, except ``platform_store`` and
``admin_daemon``.
"""
