"""Tests of the configuration document and its changes."""
