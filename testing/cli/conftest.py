"""Fixtures of the command line's tests."""

from testing.stand_ins.store_process import store

__all__ = ["store"]
