"""Open-loop load for the proofs, and what its callers saw."""

import collections
import itertools
from collections.abc import Iterable

from experiments.harness import Event, LoadResult, run_load
from testing.fleet import Fleet
from testing.stand_ins.caller import Outcome, Stream

SEED = 11
# Markers of requests come from the seed, and no two loads share them.
_seeds = itertools.count(SEED)
# A refused attempt goes to another entry; with five entries and one of them
# gone, this many resends all meet the same one in 1 of 400,000 cases.
RESENDS = 8


def make_streams(
    fleet: Fleet, *, views_per_s: float, filings_per_s: float = 0.0, path: str = ""
) -> list[Stream]:
    """Return reads and filings of the first team."""
    team = fleet.shape.teams[0]
    front = path or f"/{fleet.shape.front}"
    return [
        Stream(
            team=team.name,
            key=team.key,
            kind=kind,
            method=method,
            path=f"{front}/{kind}",
            rate_per_s=rate_per_s,
            patience_ms=6_000.0,
            resends=RESENDS,
        )
        for kind, method, rate_per_s in (
            ("view", "GET", views_per_s),
            ("file", "POST", filings_per_s),
        )
    ]


def load(
    fleet: Fleet,
    streams: list[Stream],
    duration_ms: float,
    *,
    name: str,
    events: Iterable[Event] = (),
    entries: tuple[str, ...] = (),
) -> LoadResult:
    """Run the load through ``entries``, by default all; print a summary."""
    addresses = [fleet.vms[vm].ingress_address for vm in entries]
    seed = next(_seeds)
    result = run_load(
        fleet,
        streams,
        duration_ms,
        seed=seed,
        name=name,
        entries=addresses,
        events=events,
        processes=1,
    )
    summary = collections.Counter(kind_of(one) for one in result.outcomes)
    slowest_ms = max(one.end_ms - one.start_ms for one in result.outcomes)
    broken = sum(one.broken for one in result.outcomes)
    print(
        f"{name} (seed {seed}): {dict(summary)}, broken attempts {broken}, "
        f"slowest {slowest_ms:.0f} ms"
    )
    return result


def kind_of(outcome: Outcome) -> str:
    """Return how a request ended, in one word."""
    return "whole" if outcome.whole else outcome.code or str(outcome.status)


def assert_nothing_cut(result: LoadResult) -> None:
    """Check that every request got its whole answer over whole exchanges."""
    assert result.not_sent == 0
    cut = [one for one in result.outcomes if not one.whole or one.broken]
    assert not cut, f"{len(cut)} of {len(result.outcomes)}: {cut[:3]}"
