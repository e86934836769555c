"""Tests, the stand-ins that they use and the fleets that they start.

The package ``eelgrassweir`` must not import from here.
"""
