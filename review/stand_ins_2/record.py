"""Record what was sent, answered and run, for ``record.txt``."""

import pathlib
import time


class Record:
    """Lines with the time in s since the start of the script."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> float:
        """Add a line; return its time."""
        now_s = self.now_s()
        self._lines.append(f"{now_s:9.3f} {text}")
        return now_s

    def say(self, text: str) -> float:
        """Add a line and print it."""
        print(f"{self.now_s():9.3f} {text}", flush=True)
        return self.add(text)

    def save(self) -> None:
        """Write the lines."""
        self._path.write_text("\n".join(self._lines) + "\n")
