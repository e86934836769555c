"""Daemon with its own control plane, and the transport that daemons share.

Contains the request path (entry, dispatcher, target, egress, gate), the
control plane, the admin interface, and the HTTP and link modules, which the
mesh package uses as well. Must not import the cli, mesh or platform packages.
"""
