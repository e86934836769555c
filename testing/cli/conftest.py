"""Fixtures of the cli tests."""

from testing.stand_ins.store_process import store

__all__ = ["store"]
