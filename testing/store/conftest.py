"""Fixtures of the store tests."""

import pathlib
from collections.abc import Iterator

import pytest

from testing.stand_ins.store_process import StoreProcess


@pytest.fixture
def store(tmp_path: pathlib.Path) -> Iterator[StoreProcess]:
    """Run a store stand-in for one test."""
    with StoreProcess(tmp_path) as process:
        yield process
