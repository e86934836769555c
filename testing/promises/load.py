"""Generate open-loop load for the system tests and check its outcomes."""

import collections
import itertools
from collections.abc import Iterable

from experiments.harness import Event, LoadResult, run_load
from testing.fleet import Fleet
from testing.stand_ins.caller import Outcome, Stream

SEED = 11
# Request markers derive from the seed, so each load needs another one.
_seeds = itertools.count(SEED)
# A refused attempt is resent to another entry. With five entries of which one
# is down, all of these resends go to that one in 1 of 400,000 cases.
RESENDS = 8


def make_streams(
    fleet: Fleet, *, views_per_s: float, filings_per_s: float = 0.0, path: str = ""
) -> list[Stream]:
    """Return one stream of reads and one of filings by the first team."""
    team = fleet.shape.teams[0]
    front = path or f"/{fleet.shape.front_service}"
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


def apply_load(
    fleet: Fleet,
    streams: list[Stream],
    duration_ms: float,
    *,
    name: str,
    events: Iterable[Event] = (),
    entries: tuple[str, ...] = (),
) -> LoadResult:
    """Run the load through the VMs ``entries``, by default all.

    Print the outcomes by kind and the seed.
    """
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
    summary = collections.Counter(
        classify_outcome(outcome) for outcome in result.outcomes
    )
    slowest_ms = max(outcome.end_ms - outcome.start_ms for outcome in result.outcomes)
    broken = sum(outcome.broken for outcome in result.outcomes)
    print(
        f"{name} (seed {seed}): {dict(summary)}, broken attempts {broken}, "
        f"slowest {slowest_ms:.0f} ms"
    )
    return result


def classify_outcome(outcome: Outcome) -> str:
    """Return "whole", or else the refusal code, or else the status."""
    return "whole" if outcome.whole else outcome.code or str(outcome.status)


def assert_all_complete(result: LoadResult) -> None:
    """Check that all requests got whole answers and no connection broke."""
    assert result.not_sent == 0
    incomplete = [
        outcome for outcome in result.outcomes if not outcome.whole or outcome.broken
    ]
    assert not incomplete, (
        f"{len(incomplete)} of {len(result.outcomes)} requests: {incomplete[:3]}"
    )
