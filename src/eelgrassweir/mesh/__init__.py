"""One daemon of the deployment on the platform.

Every daemon reads the configuration and its peers from the store by itself.
``main`` wires the adapter to the platform into ``app``; the other
modules know only the product's types.
"""
