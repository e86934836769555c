"""Rollout progress of an accepted change through the fleet."""

import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from eelgrassweir.cli.failure import CommandError
from eelgrassweir.config.describe import format_time

_POLL_S = 0.5


@attrs.frozen(kw_only=True)
class Progress:
    """Hold how many of the known daemons have a version, and which lag."""

    version: int
    updated_daemons: int
    known_daemons: int
    lagging: tuple[str, ...]
    # Daemons that stopped sending heartbeats but may still serve.
    lost: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether every known daemon has the version."""
        if self.lagging or self.lost:
            return False
        return self.known_daemons > 0 and self.updated_daemons >= self.known_daemons

    def __str__(self) -> str:
        if not self.known_daemons:
            return f"It is not known which daemons have version {self.version}"
        text = (
            f"{self.updated_daemons} of {self.known_daemons} daemons have version "
            f"{self.version}"
        )
        if self.lagging:
            text += "; not yet: " + ", ".join(self.lagging)
        if self.lost:
            text += "; recently lost: " + ", ".join(self.lost)
        return text


def progress_of(status: Mapping[str, Any], version: int) -> Progress:
    """Compute the progress from a daemon's ``/status`` document."""
    fleet = status.get("fleet") or {}
    counts = fleet.get("counts") or []
    updated_daemons = sum(
        int(n["daemons"]) for n in counts if int(n["version"]) >= version
    )
    total = sum(int(n["daemons"]) for n in counts)
    known_daemons = max(total, int(fleet.get("daemons_known") or 0))
    # The list may be older than the counts: ignore it if no daemon is missing.
    lagging = (
        tuple(fleet.get("lagging") or ()) if updated_daemons < known_daemons else ()
    )
    return Progress(
        version=version,
        updated_daemons=updated_daemons,
        known_daemons=known_daemons,
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
    """Poll the status until all daemons have the version or ``wait_s`` ends.

    Pass each change of the progress, or the reason of a failed poll, to
    ``show``.
    """
    end_s = time.monotonic() + wait_s
    shown = ""
    progress = Progress(version=version, updated_daemons=0, known_daemons=0, lagging=())
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
    """Return until when an unreachable daemon may use the old version."""
    until = format_time(accepted_wall_ms + isolation_limit_ms)
    return (
        f"An unreachable daemon may use the old version until {until} "
        f"({isolation_limit_ms / 1000:g} s after the change was accepted); then "
        "it refuses keyed requests until it has the new version."
    )
