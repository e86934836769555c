"""Random faults at random times, all from one seed."""

import random
import signal
from collections.abc import Callable, Mapping

from experiments.harness import Event
from testing.fleet import Fleet

# A pause this long outlasts the leases of the proofs' settings.
PAUSE_MS = 2_500.0
SHORT_PAUSE_MS = 300.0
STORE_OUTAGE_MS = 3_000.0
REPLACE_MS = 700.0
LINK_DELAY_MS = 400.0

Act = Callable[[Fleet], object]


def plan_faults(
    names: list[str],
    *,
    seed: int,
    duration_ms: float,
    every_ms: float,
    kinds: "Mapping[str, Kind] | None" = None,
) -> tuple[list[Event], list[str]]:
    """Return events with faults, none near the end, and their log."""
    rng = random.Random(seed)
    chosen = FAULTS if kinds is None else kinds
    events: list[Event] = []
    log: list[str] = []
    at_ms = 1_500.0
    while at_ms < duration_ms - 2 * PAUSE_MS:
        kind = rng.choice(sorted(chosen))
        name = rng.choice(names)
        log.append(f"{at_ms:.0f} ms {kind} {name}")
        events += [(at_ms + delay_ms, act) for delay_ms, act in chosen[kind](name)]
        at_ms += rng.uniform(0.5, 1.5) * every_ms
    return events, log


def _pause(name: str, length_ms: float) -> list[Event]:
    return [
        (0.0, lambda fleet: fleet.pause(name)),
        (length_ms, lambda fleet: fleet.resume(name)),
    ]


def _replace(name: str, *, backend: bool) -> list[Event]:
    def kill(fleet: Fleet) -> None:
        fleet.resume(name)
        fleet.kill(name, backend=backend)

    return [
        (0.0, kill),
        (REPLACE_MS, lambda fleet: fleet.start_vm(name, backend=backend)),
    ]


def _silence(name: str, part: str, directions: tuple[str, ...]) -> list[Event]:
    def silence(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        fleet.proxy.silence(f"{name}/{part}", directions)

    return [(0.0, silence)]


def _cut(name: str, part: str) -> list[Event]:
    def cut(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        fleet.proxy.cut(f"{name}/{part}")

    return [(0.0, cut)]


def _signal_store(number: int) -> Act:
    def act(fleet: Fleet) -> None:
        assert fleet.store is not None
        fleet.store.send_signal(number)

    return act


def _store_outage(name: str) -> list[Event]:
    return [
        (0.0, _signal_store(signal.SIGSTOP)),
        (STORE_OUTAGE_MS, _signal_store(signal.SIGCONT)),
    ]


def _delay(name: str) -> list[Event]:
    def delay(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        fleet.proxy.delay(f"{name}/link", LINK_DELAY_MS)

    def end(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        fleet.proxy.delay(f"{name}/link", 0.0)

    return [(0.0, delay), (PAUSE_MS, end)]


def _drain(name: str) -> list[Event]:
    return [
        (0.0, lambda fleet: fleet.terminate(name)),
        (PAUSE_MS, lambda fleet: fleet.restart(name)),
    ]


def _closed_store(name: str) -> list[Event]:
    return [
        (0.0, lambda fleet: fleet.set_store_faults(down="closed")),
        (STORE_OUTAGE_MS, lambda fleet: fleet.set_store_faults(down="")),
    ]


Kind = Callable[[str], list[Event]]

SLOW_FAULTS: dict[str, Kind] = {
    "closed store": _closed_store,
    "delay link": _delay,
    "drain": _drain,
}
FAULTS: dict[str, Kind] = {
    "cut control": lambda name: _cut(name, "control"),
    "cut link": lambda name: _cut(name, "link"),
    "kill daemon": lambda name: _replace(name, backend=False),
    "long pause": lambda name: _pause(name, PAUSE_MS),
    "replace vm": lambda name: _replace(name, backend=True),
    "short pause": lambda name: _pause(name, SHORT_PAUSE_MS),
    "silence answers": lambda name: _silence(name, "link", ("to_client",)),
    "silence control": lambda name: _silence(
        name, "control", ("to_client", "to_target")
    ),
    "silence link": lambda name: _silence(name, "link", ("to_client", "to_target")),
    "store outage": _store_outage,
}
