"""Translation between the platform's protocols and the product's types.

Nothing here decides or keeps state. Only ``mesh.main`` imports this package;
it must not import ``mesh``.
"""
