"""Tests of ``eelgrassweir.platform``, the adapter to the platform."""
