"""Tests of ``eelgrassweir.mesh``, with stand-ins for the platform."""
