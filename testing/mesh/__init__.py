"""Tests of the daemon on the platform."""
