"""Random faults at random times, reproducible from one seed.

Used by the scenario ``random_faults`` and the tests in testing/promises.
"""

import random
import signal
from collections.abc import Callable, Mapping

from experiments.harness import Event
from testing.fleet import Fleet

# Longer than the leases in the settings of the tests in testing/promises.
PAUSE_MS = 2_500.0
SHORT_PAUSE_MS = 300.0
STORE_OUTAGE_MS = 3_000.0
REPLACE_MS = 700.0
LINK_DELAY_MS = 400.0

# Applies one step of a fault to a running fleet.
FaultAction = Callable[[Fleet], object]


def plan_faults(
    names: list[str],
    *,
    seed: int,
    duration_ms: float,
    every_ms: float,
    kinds: "Mapping[str, FaultFactory] | None" = None,
) -> tuple[list[Event], list[str]]:
    """Choose faults at random and return their events and descriptions.

    On average one fault starts every ``every_ms``, at a random one of the VMs
    ``names``; none starts within 2 * ``PAUSE_MS`` of the end.
    """
    rng = random.Random(seed)
    selected_faults = FAULTS if kinds is None else kinds
    events: list[Event] = []
    descriptions: list[str] = []
    at_ms = 1_500.0
    while at_ms < duration_ms - 2 * PAUSE_MS:
        kind = rng.choice(sorted(selected_faults))
        name = rng.choice(names)
        descriptions.append(f"{at_ms:.0f} ms {kind} {name}")
        events += [
            (at_ms + delay_ms, action)
            for delay_ms, action in selected_faults[kind](name)
        ]
        at_ms += rng.uniform(0.5, 1.5) * every_ms
    return events, descriptions


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


def _silence(name: str, listener: str, directions: tuple[str, ...]) -> list[Event]:
    def silence(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        fleet.proxy.silence(f"{name}/{listener}", directions)

    return [(0.0, silence)]


def _cut(name: str, listener: str) -> list[Event]:
    def cut(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        fleet.proxy.cut(f"{name}/{listener}")

    return [(0.0, cut)]


def _signal_store(number: int) -> FaultAction:
    def apply(fleet: Fleet) -> None:
        assert fleet.store is not None
        fleet.store.send_signal(number)

    return apply


def _pause_store(name: str) -> list[Event]:
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


def _close_store(name: str) -> list[Event]:
    return [
        (0.0, lambda fleet: fleet.set_store_faults(down="closed")),
        (STORE_OUTAGE_MS, lambda fleet: fleet.set_store_faults(down="")),
    ]


# Returns the events of a fault of one VM, with offsets from its start.
FaultFactory = Callable[[str], list[Event]]

SLOW_FAULTS: dict[str, FaultFactory] = {
    "closed store": _close_store,
    "delay link": _delay,
    "drain": _drain,
}
FAULTS: dict[str, FaultFactory] = {
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
    "store outage": _pause_store,
}
