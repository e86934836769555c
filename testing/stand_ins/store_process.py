"""Start and steer the store stand-in from a test."""

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
_START_LIMIT_S = 10.0


class StoreProcess:
    """Run one store stand-in; a context manager that ends it."""

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
        self.url = f"http://127.0.0.1:{self._await_port()}"

    def _await_port(self) -> int:
        end_s = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < end_s:
            if self._port_file.exists():
                return int(self._port_file.read_text())
            if self._process.poll() is not None:
                break
            time.sleep(0.01)
        self.stop()
        raise RuntimeError("the store stand-in did not start")

    def __enter__(self) -> "StoreProcess":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """End the process and wait for it."""
        self._process.kill()
        self._process.wait()

    def get_counts(self) -> dict[str, int]:
        """Return the number of calls by kind."""
        found = self._http.request("GET", f"{self.url}/stand-in/counts").json()
        return {str(kind): int(count) for kind, count in found.items()}

    def set_faults(self, **changes: Any) -> None:
        """Switch faults on or off; see ``testing.stand_ins.store``."""
        answer = self._http.request(
            "POST", f"{self.url}/stand-in/faults", body=json.dumps(changes)
        )
        if answer.status != 200:
            raise ValueError(answer.data.decode())


@pytest.fixture
def store(tmp_path: pathlib.Path) -> Iterator[StoreProcess]:
    """Run a store stand-in for one test."""
    with StoreProcess(tmp_path) as process:
        yield process
