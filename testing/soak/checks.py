"""Checks of the soak, on what callers and backend servers have recorded.

Each returns one line per violation and an empty list if there is none.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from testing.soak.backend import Run

NOT_RUN_STATUSES = (408, 421, 429, 503)
# On a busy machine the harness takes this long to record an event, so that
# callers and backend servers record different times.
HARNESS_DELAY_S = 0.3


@attrs.frozen(kw_only=True)
class Outcome:
    """One request as observed by its caller; status 0 means no response."""

    request_id: str
    team: str
    safe: bool
    status: int
    body: bytes
    sent_s: float
    ended_s: float


@attrs.frozen(kw_only=True)
class DrainAnnouncement:
    """Drain of a backend server, from its first acknowledged heartbeat."""

    instance: str
    announced_s: float


@attrs.frozen(kw_only=True)
class Revocation:
    """Revocation of the only key of a team."""

    team: str
    revoked_s: float


def find_repeated_runs(outcomes: Sequence[Outcome], runs: Iterable[Run]) -> list[str]:
    """Find unsafe requests that ran more than once."""
    counts = Counter(run.request_id for run in runs)
    return [
        f"unsafe request {one.request_id} ran {counts[one.request_id]} times"
        for one in outcomes
        if not one.safe and counts[one.request_id] > 1
    ]


def find_refused_but_executed(
    outcomes: Sequence[Outcome], runs: Iterable[Run]
) -> list[str]:
    """Find unsafe requests that ran although refused as not run."""
    executed = {run.request_id for run in runs}
    return [
        f"unsafe request {one.request_id} got {one.status} and ran"
        for one in outcomes
        if not one.safe
        and one.status in NOT_RUN_STATUSES
        and one.request_id in executed
    ]


def find_mismatched_responses(outcomes: Sequence[Outcome]) -> list[str]:
    """Find 200 responses with a truncated body or that of another request."""
    return [
        f"request {one.request_id} got the body {one.body!r}"
        for one in outcomes
        if one.status == 200 and one.body != one.request_id.encode()
    ]


def find_uses_of_revoked_keys(
    revocations: Sequence[Revocation], runs: Iterable[Run], limit_s: float
) -> list[str]:
    """Find runs for a team more than ``limit_s`` after its key was revoked."""
    deadlines_s = {
        one.team: one.revoked_s + limit_s + HARNESS_DELAY_S for one in revocations
    }
    return [
        f"run {run.request_id} for {run.team} "
        f"{run.started_s - deadlines_s[run.team]:.1f} s after its revoked key must fail"
        for run in runs
        if run.team in deadlines_s and run.started_s > deadlines_s[run.team]
    ]


def find_runs_after_drain(
    drain_announcements: Sequence[DrainAnnouncement],
    runs: Iterable[Run],
    drain_s: float,
) -> list[str]:
    """Find runs that started at a backend server after its drain time."""
    deadlines_s = {
        one.instance: one.announced_s + drain_s + HARNESS_DELAY_S
        for one in drain_announcements
    }
    return [
        f"run {run.request_id} started at {run.instance} "
        f"{run.started_s - deadlines_s[run.instance]:.2f} s after its drain time"
        for run in runs
        if run.instance in deadlines_s and run.started_s > deadlines_s[run.instance]
    ]


def find_rate_excess(
    runs: Iterable[Run], *, team: str, window_s: float, max_calls: float
) -> list[str]:
    """Find the first window in which a team ran more than ``max_calls``."""
    starts = sorted(run.started_s for run in runs if run.team == team)
    first = 0
    for last, started_s in enumerate(starts):
        while started_s - starts[first] >= window_s:
            first += 1
        if last - first + 1 > max_calls:
            return [f"{last - first + 1} runs of {team} in {window_s} s"]
    return []
