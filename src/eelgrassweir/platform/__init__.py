"""Adapter to the platform: its configuration, HTTP messages and store.

The modules translate between the platform's protocols and the types of this
project, without decisions or state of their own. Only ``mesh.main`` imports
this package. It must not import ``mesh``.
"""
