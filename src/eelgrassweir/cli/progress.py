"""Progress of an accepted change through the fleet."""

import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from eelgrassweir.cli.failure import CommandError
from eelgrassweir.config.describe import format_time

_POLL_S = 0.5


@attrs.frozen(kw_only=True)
class Progress:
    """Hold how many daemons have a version, of how many, and who lags."""

    version: int
    have: int
    known: int
    lagging: tuple[str, ...]
    # Daemons that nobody hears any more and that may still serve.
    lost: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Tell whether every known daemon has the version."""
        if self.lagging or self.lost:
            return False
        return self.known > 0 and self.have >= self.known

    def __str__(self) -> str:
        if not self.known:
            return f"It is not known which daemons have version {self.version}"
        text = f"{self.have} of {self.known} daemons have version {self.version}"
        if self.lagging:
            text += "; not yet: " + ", ".join(self.lagging)
        if self.lost:
            text += "; lost lately: " + ", ".join(self.lost)
        return text


def progress_of(status: Mapping[str, Any], version: int) -> Progress:
    """Return the progress that a daemon's status shows."""
    fleet = status.get("fleet") or {}
    counts = fleet.get("counts") or []
    have = sum(int(n["daemons"]) for n in counts if int(n["version"]) >= version)
    total = sum(int(n["daemons"]) for n in counts)
    known = max(total, int(fleet.get("daemons_known") or 0))
    # The list may be older than the counts; without a gap nobody lags.
    lagging = tuple(fleet.get("lagging") or ()) if have < known else ()
    return Progress(
        version=version,
        have=have,
        known=known,
        lagging=lagging,
        lost=tuple(fleet.get("lost") or ()),
    )


def follow(
    get_status: Callable[[], Mapping[str, Any]],
    version: int,
    *,
    wait_s: float,
    show: Callable[[str], None],
) -> Progress:
    """Poll until every daemon has the version or the wait is over."""
    end_s = time.monotonic() + wait_s
    shown = ""
    progress = Progress(version=version, have=0, known=0, lagging=())
    while True:
        try:
            progress = progress_of(get_status(), version)
            text = str(progress)
        except CommandError as error:
            text = error.reason
        if text != shown:
            show(text)
            shown = text
        if progress.is_complete or time.monotonic() >= end_s:
            return progress
        time.sleep(_POLL_S)


def old_version_note(accepted_wall_ms: float, isolation_limit_ms: int) -> str:
    """Say until when a daemon that is not reached may use the old version."""
    until = format_time(accepted_wall_ms + isolation_limit_ms)
    return (
        f"A daemon that cannot be reached may act on the old version until {until} "
        f"({isolation_limit_ms / 1000:g} s after the change was accepted); after that "
        "it refuses keyed requests until it has the new one."
    )
