"""Tests of ``eelgrassweir.daemon``, with fakes of its store and network."""
