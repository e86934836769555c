"""Guard against daemons that follow others and miss what the store has."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from testing.mesh.feed_simulation import WATCH_MS, FeedFleet
from testing.virtual_time import run_virtual

# Time in which a configuration must be in force, in the smallest deployments.
CONFIG_APPLY_MS = 2_000.0
START_S = 4.0


async def watch_proofs(fleet: FeedFleet, seconds: float) -> None:
    """Check every 20 ms that no proof is newer than the configuration."""
    end_ms = fleet.clock.now_ms() + seconds * 1e3
    while fleet.clock.now_ms() < end_ms:
        assert not fleet.find_stale_proofs()
        await asyncio.sleep(0.02)


async def wait_for_version(fleet: FeedFleet, vms: set[str]) -> float:
    """Return the ms until the VMs have the newest configuration."""
    started_ms = fleet.clock.now_ms()
    newest = len(fleet.store.versions)
    while any(fleet.daemons[vm].version < newest for vm in vms):
        await asyncio.sleep(0.005)
        assert fleet.clock.now_ms() - started_ms < 20_000
    return fleet.clock.now_ms() - started_ms


def simulate(scenario: Callable[[FeedFleet], Awaitable[None]], seed: int = 1) -> None:
    """Run a scenario with an empty fleet on a virtual clock."""

    async def run() -> None:
        fleet = FeedFleet(seed)
        fleet.store.put_config()
        await scenario(fleet)
        fleet.stop()

    run_virtual(run())


@pytest.mark.parametrize(
    ("count", "domains", "max_per_vm_and_s"),
    [(13, 3, 0.3), (195, 6, 0.045), (300, 6, 0.03)],
)
def test_calls_to_the_store_do_not_grow_with_the_fleet(
    count: int, domains: int, max_per_vm_and_s: float
) -> None:
    """Guard against each daemon calling the store by itself."""

    async def scenario(fleet: FeedFleet) -> None:
        await fleet.start(count, domains)
        await asyncio.sleep(START_S)
        calls = fleet.store.call_count
        await watch_proofs(fleet, 20.0)
        rate = (fleet.store.call_count - calls) / 20.0 / count
        assert rate <= max_per_vm_and_s

    simulate(scenario)


def test_join_and_leave_cost_few_calls_for_the_whole_fleet() -> None:
    """Guard against a change of one entry that makes each daemon call."""

    async def scenario(fleet: FeedFleet) -> None:
        await fleet.start(120, 4)
        await asyncio.sleep(START_S)
        calls = fleet.store.call_count
        await asyncio.sleep(10.0)
        calm_calls = fleet.store.call_count - calls
        calls = fleet.store.call_count
        for number in range(120, 125):
            fleet.start_daemon(f"vm-{number}", "zone-0")
            await asyncio.sleep(1.0)
        for number in range(5):
            fleet.store.remove(f"members/vm-{number}")
            fleet.kill(f"vm-{number}")
            await asyncio.sleep(1.0)
        busy_calls = fleet.store.call_count - calls
        # A change wakes the readers; a join also reads all once.
        assert busy_calls - calm_calls <= 10 * 12
        await asyncio.sleep(3.0)
        assert not fleet.find_outdated()

    simulate(scenario)


def test_configuration_reaches_all_daemons_soon() -> None:
    """Guard against a configuration that is late at the end of the tree."""

    async def scenario(fleet: FeedFleet) -> None:
        await fleet.start(300, 4)
        await asyncio.sleep(START_S)
        for _ in range(5):
            fleet.store.put_config()
            assert await wait_for_version(fleet, set(fleet.daemons)) <= 300.0
            await asyncio.sleep(0.7)

    simulate(scenario)


def find_readers(fleet: FeedFleet) -> set[str]:
    """Return the VMs that take themselves for readers."""
    return {vm for vm, daemon in fleet.daemons.items() if daemon.sources.is_reader}


@pytest.mark.parametrize("fault", ["killed", "cut", "refused", "silent"])
@pytest.mark.parametrize("hit", ["own", "all"])
def test_configuration_is_in_time_without_the_readers(fault: str, hit: str) -> None:
    """Guard against followers that wait for a reader which is of no use.

    The followers themselves reach the store. The configuration is written at
    different times after the fault.
    """

    async def scenario(fleet: FeedFleet) -> None:
        await fleet.start(40, 3)
        await asyncio.sleep(START_S)
        for delay_ms in (0, 100, 400, 700, 900):
            readers = find_readers(fleet)
            domain = {fleet.daemons[vm].domain for vm in readers}.pop()
            if hit == "own":
                readers = {vm for vm in readers if fleet.daemons[vm].domain == domain}
            killed = []
            if fault == "killed":
                killed = [fleet.kill(vm) for vm in readers]
            elif fault == "cut":
                fleet.cut_vms |= readers
                fleet.store.silent_vms |= readers
            elif fault == "refused":
                fleet.store.refused_vms |= readers
            else:
                fleet.store.silent_vms |= readers
            await asyncio.sleep(delay_ms / 1e3)
            fleet.store.put_config()
            calm = set(fleet.daemons) - readers
            assert await wait_for_version(fleet, calm) <= 0.9 * CONFIG_APPLY_MS
            assert not fleet.find_stale_proofs()
            fleet.cut_vms.clear()
            fleet.store.silent_vms.clear()
            fleet.store.refused_vms.clear()
            for daemon in killed:
                fleet.start_daemon(daemon.vm, daemon.domain)
            await watch_proofs(fleet, 6.0)
            assert not fleet.find_outdated()

    simulate(scenario)


def test_daemon_that_the_store_turns_away_stays_up_to_date() -> None:
    """Guard against a stale configuration while other daemons have proofs."""

    async def scenario(fleet: FeedFleet) -> None:
        await fleet.start(30, 3)
        await asyncio.sleep(START_S)
        turned_away = {vm for vm in fleet.daemons if int(vm[3:]) % 3 == 0}
        turned_away |= {sorted(find_readers(fleet))[0]}
        fleet.store.refused_vms |= turned_away
        for _ in range(10):
            fleet.store.put_config()
            assert await wait_for_version(fleet, turned_away) <= CONFIG_APPLY_MS
            await asyncio.sleep(0.5)
            now_ms = fleet.clock.now_ms()
            for vm in turned_away:
                age_ms = fleet.daemons[vm].feed.freshness.age_ms(now_ms)
                assert age_ms is not None
                assert age_ms <= 2.0 * WATCH_MS

    simulate(scenario)


def test_daemon_that_is_cut_off_has_no_recent_proof() -> None:
    """Guard against a proof that is renewed by passing it round."""

    async def scenario(fleet: FeedFleet) -> None:
        await fleet.start(12, 3)
        await asyncio.sleep(START_S)
        fleet.store.silent_vms |= set(fleet.daemons)
        cut_ms = fleet.clock.now_ms()
        await asyncio.sleep(1.0)
        fleet.store.put_config()
        await watch_proofs(fleet, 8.0)
        for daemon in fleet.daemons.values():
            age_ms = daemon.feed.freshness.age_ms(fleet.clock.now_ms())
            assert age_ms is not None
            assert fleet.clock.now_ms() - age_ms <= cut_ms + 10.0
        fleet.store.silent_vms.clear()
        await asyncio.sleep(CONFIG_APPLY_MS / 1e3)
        assert not fleet.find_outdated()

    simulate(scenario)


async def inject_fault(fleet: FeedFleet) -> None:
    """Begin or end one random fault."""
    rng = fleet.rng
    vms = sorted(fleet.daemons)
    some = set(rng.sample(vms, rng.randrange(1, max(2, len(vms) // 3))))
    kind = rng.randrange(9)
    if kind == 0:
        fleet.store.refused_vms = some
    elif kind == 1:
        fleet.store.silent_vms = some
    elif kind == 2:
        fleet.cut_vms = some
    elif kind == 3:
        fleet.store.compact()
    elif kind == 4:
        # Readers first; they come back with nothing.
        for vm in sorted(find_readers(fleet) | some):
            domain = fleet.kill(vm).domain
            fleet.start_daemon(vm, domain)
    elif kind == 5:
        fleet.store.latency_ms = rng.choice((4.0, 70.0, 270.0))
    elif kind == 6:
        fleet.delayed_share = rng.choice((0.0, 0.05, 0.3))
    elif kind == 7:
        for vm in some:
            fleet.store.remove(f"members/{vm}")
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            fleet.register(fleet.daemons[vm])
    else:
        fleet.store.refused_vms = set(vms)


def end_faults(fleet: FeedFleet) -> None:
    """End all faults."""
    fleet.store.refused_vms = set()
    fleet.store.silent_vms = set()
    fleet.cut_vms = set()
    fleet.delayed_share = 0.0
    fleet.store.latency_ms = 4.0


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_never_make_a_proof_newer_than_the_configuration(
    seed: int,
) -> None:
    """Guard against a withdrawn key that works, and against lost changes."""

    async def scenario(fleet: FeedFleet) -> None:
        await fleet.start(24, 3)
        await asyncio.sleep(START_S)
        versions: dict[str, int] = {}
        for _ in range(25):
            await inject_fault(fleet)
            fleet.store.put_config()
            await watch_proofs(fleet, fleet.rng.uniform(0.1, 2.5))
            for daemon in fleet.daemons.values():
                assert daemon.version >= versions.get(daemon.incarnation, 0)
                versions[daemon.incarnation] = daemon.version
        end_faults(fleet)
        # Answers that were delayed by up to 20 s may be on their way, but
        # each call for them has ended by its own timeout.
        await watch_proofs(fleet, 6.0)
        assert not fleet.find_outdated()

    simulate(scenario, seed)
