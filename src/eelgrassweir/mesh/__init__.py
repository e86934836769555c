"""Daemon of the deployment on the platform.

Each daemon reads the configuration and the other members from the store.
``main`` passes the adapter to the platform to ``app``. The other modules use
only the types of this project and must not import the ``platform`` package.
"""
