"""Promises, checked from what callers and backend servers saw."""

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from testing.soak.backend import Run

PROMISES_NOT_RUN = (408, 421, 429, 503)
# Callers' and backend servers' sides of one moment differ by what the
# harness itself needs on a busy machine.
HARNESS_S = 0.3


@attrs.frozen(kw_only=True)
class Outcome:
    """What a caller saw of one request; status 0 is no answer."""

    request_id: str
    team: str
    safe: bool
    status: int
    body: bytes
    sent_s: float
    ended_s: float


@attrs.frozen(kw_only=True)
class Leave:
    """A backend server's announcement that it leaves."""

    instance: str
    announced_s: float


@attrs.frozen(kw_only=True)
class Revocation:
    """A key that was taken away from a team that has no other."""

    team: str
    written_s: float


def repeated_runs(outcomes: Sequence[Outcome], runs: Iterable[Run]) -> list[str]:
    """Return unsafe requests that ran more than once."""
    counts = Counter(run.request_id for run in runs)
    return [
        f"unsafe request {one.request_id} ran {counts[one.request_id]} times"
        for one in outcomes
        if not one.safe and counts[one.request_id] > 1
    ]


def false_refusals(outcomes: Sequence[Outcome], runs: Iterable[Run]) -> list[str]:
    """Return unsafe requests refused as not run that ran."""
    ran = {run.request_id for run in runs}
    return [
        f"unsafe request {one.request_id} got {one.status} and ran"
        for one in outcomes
        if not one.safe and one.status in PROMISES_NOT_RUN and one.request_id in ran
    ]


def foreign_answers(outcomes: Sequence[Outcome]) -> list[str]:
    """Return successes whose body belongs to another request or is cut."""
    return [
        f"request {one.request_id} got the body {one.body!r}"
        for one in outcomes
        if one.status == 200 and one.body != one.request_id.encode()
    ]


def late_uses(
    revocations: Sequence[Revocation], runs: Iterable[Run], limit_s: float
) -> list[str]:
    """Return runs for a team later than the limit after its key was taken."""
    ends = {one.team: one.written_s + limit_s + HARNESS_S for one in revocations}
    return [
        f"run {run.request_id} for {run.team} {run.started_s - ends[run.team]:.1f} s "
        "after its key must not work any more"
        for run in runs
        if run.team in ends and run.started_s > ends[run.team]
    ]


def runs_after_leave(
    leaves: Sequence[Leave], runs: Iterable[Run], drain_s: float
) -> list[str]:
    """Return runs begun at a backend server after its drain time."""
    ends = {one.instance: one.announced_s + drain_s + HARNESS_S for one in leaves}
    return [
        f"run {run.request_id} began at {run.instance} "
        f"{run.started_s - ends[run.instance]:.2f} s after its drain time"
        for run in runs
        if run.instance in ends and run.started_s > ends[run.instance]
    ]


def excess_windows(
    runs: Iterable[Run], *, team: str, window_s: float, allowed: float
) -> list[str]:
    """Return windows in which a team ran more than it may."""
    starts = sorted(run.started_s for run in runs if run.team == team)
    first = 0
    for last, started_s in enumerate(starts):
        while started_s - starts[first] >= window_s:
            first += 1
        if last - first + 1 > allowed:
            return [f"{last - first + 1} runs of {team} in {window_s} s"]
    return []
