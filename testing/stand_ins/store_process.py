"""Run the store stand-in as a process and control it from a test.

Tests import the fixture ``store`` into their ``conftest.py``.
"""

import json
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

ROOT = pathlib.Path(__file__).parents[2]
_START_TIMEOUT_S = 10.0


class StoreProcess:
    """One process of the store stand-in, which a context manager kills."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._port_file = folder / "store.port"
        self._http = urllib3.PoolManager()
        self._process = subprocess.Popen(
            [
                *(sys.executable, "-m", "testing.stand_ins.store"),
                *("--port-file", str(self._port_file)),
            ],
            cwd=ROOT,
        )
        self.url = f"http://127.0.0.1:{self._wait_for_port()}"

    def _wait_for_port(self) -> int:
        end_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < end_s:
            if self._port_file.exists():
                return int(self._port_file.read_text())
            if self._process.poll() is not None:
                break
            time.sleep(0.01)
        self.stop()
        raise RuntimeError("the store stand-in did not write its port file")

    def __enter__(self) -> "StoreProcess":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        self._process.kill()
        self._process.wait()

    def get_counts(self) -> dict[str, int]:
        """Return the number of calls by kind, such as "put" or "watch"."""
        counts = self._http.request("GET", f"{self.url}/stand-in/counts").json()
        return {str(kind): int(count) for kind, count in counts.items()}

    def set_faults(self, **changes: Any) -> None:
        """Set faults; their names are in ``testing.stand_ins.store``.

        :raises ValueError: if the stand-in rejects them.
        """
        response = self._http.request(
            "POST", f"{self.url}/stand-in/faults", body=json.dumps(changes)
        )
        if response.status != 200:
            raise ValueError(response.data.decode())


@pytest.fixture
def store(tmp_path: pathlib.Path) -> Iterator[StoreProcess]:
    """Run a store stand-in for one test."""
    with StoreProcess(tmp_path) as process:
        yield process
