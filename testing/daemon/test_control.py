"""Guard against daemons that do not join, become stale or lose changes."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from returns.result import Failure, Success

from eelgrassweir.config.document import dump_document
from eelgrassweir.daemon.control import ControlPlane
from eelgrassweir.membership.table import mark_down
from eelgrassweir.proto.control_pb2 import READY, PromiseRequest
from testing.daemon.control_fakes import (
    DOMAINS,
    HEARTBEAT_MS,
    Fleet,
    SilentProxy,
    make_document,
)

SEED = 71


def run_fleet(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a scenario on a new fleet and stop the fleet."""

    async def run() -> None:
        fleet = Fleet(SEED)
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())


async def start_all(fleet: Fleet, count: int, **changes: object) -> None:
    """Start ``count`` daemons, distributed over the failure domains."""
    for number in range(count):
        domain = DOMAINS[number % len(DOMAINS)]
        await fleet.start(f"vm{number:02}", domain, **changes)


def has_converged(fleet: Fleet, version: int) -> bool:
    """Return whether all daemons have joined and are fresh at ``version``."""
    planes = fleet.planes.values()
    return all(
        plane.config is not None
        and plane.config.version == version
        and plane.members.count_live() == len(fleet.planes)
        and plane.is_fresh()
        for plane in planes
    )


async def start_converged(fleet: Fleet, count: int, **changes: object) -> None:
    """Start daemons and wait until all have version 1 and know each other."""
    fleet.store.set_config(make_document(1))
    await start_all(fleet, count, **changes)
    await fleet.wait_until(lambda: has_converged(fleet, 1))


def find_relays(fleet: Fleet) -> list[str]:
    """Return the VMs that are relays."""
    return sorted(vm for vm, plane in fleet.planes.items() if plane.is_relay())


def test_daemons_find_each_other_and_get_each_version() -> None:
    """Guard against daemons that miss a member or a version."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 9)
        planes = fleet.planes.values()
        fleet.planes["vm04"].announce_backend(service="fichero", slots=110, state=READY)
        fleet.store.set_config(make_document(2))
        await fleet.wait_until(lambda: has_converged(fleet, 2))
        await fleet.wait_until(
            lambda: all(len(plane.members.ready("fichero")) == 1 for plane in planes)
        )
        assert len(find_relays(fleet)) == len(DOMAINS)

    run_fleet(scenario)


def test_stopped_daemon_is_down_at_once_and_crashed_one_soon() -> None:
    """Guard against ended daemons that stay in the membership."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 7)
        leaves = [vm for vm, plane in fleet.planes.items() if not plane.is_relay()]
        await fleet.planes.pop(leaves[0]).stop()
        await fleet.wait_until(lambda: has_converged(fleet, 1))
        await fleet.kill(leaves[1])
        await fleet.wait_until(lambda: has_converged(fleet, 1))

    run_fleet(scenario)


def test_live_daemon_marked_down_announces_itself_again() -> None:
    """Guard against a live daemon that stays marked down by mistake."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 4)
        entry = fleet.planes["vm00"].members.get("vm03")
        assert entry is not None
        fleet.planes["vm00"].node.merge_members([mark_down(entry)], None)
        assert fleet.planes["vm00"].members.count_live() == 3
        await fleet.wait_until(lambda: has_converged(fleet, 1))

    run_fleet(scenario)


def test_full_parent_redirects_and_crashed_parent_is_replaced() -> None:
    """Guard against parents with too many children and against orphans."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 11, tree_fan_out_count=2)
        planes = fleet.planes
        assert all(len(plane.state()["children"]) <= 2 for plane in planes.values())
        inner = [
            vm
            for vm, plane in planes.items()
            if plane.state()["children"] and not plane.is_relay()
        ]
        assert inner
        await fleet.kill(inner[0])
        await fleet.wait_until(lambda: has_converged(fleet, 1))
        assert all(len(plane.state()["children"]) <= 2 for plane in planes.values())

    run_fleet(scenario)


def test_crashed_relay_is_replaced_and_its_crashed_child_is_marked_down() -> None:
    """Guard against a crashed child that no live daemon watches."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 9)
        first = find_relays(fleet)[0]
        children = fleet.planes[first].state()["children"]
        await fleet.kill(first)
        assert children
        # Only its crashed parent had a stream to this child.
        await fleet.kill(children[0])
        await fleet.wait_until(
            lambda: has_converged(fleet, 1) and len(find_relays(fleet)) == 3
        )
        fleet.store.set_config(make_document(2))
        await fleet.wait_until(lambda: has_converged(fleet, 2))

    run_fleet(scenario)


def test_daemons_stay_fresh_and_new_ones_join_in_a_store_outage() -> None:
    """Guard against daemons that become stale in a store outage."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 6)
        before = find_relays(fleet)
        fleet.store.is_down = True
        start_ms = fleet.planes["vm00"].node.clock.now_ms()
        seed = fleet.planes[before[0]].address
        await fleet.start("vm99", "oviedo", seed_addresses=(seed,))
        limit_ms = 2.0 * fleet.planes["vm00"]._settings.isolation_limit_ms

        def is_observed() -> bool:
            old = [plane for vm, plane in fleet.planes.items() if vm != "vm99"]
            assert all(plane.is_fresh() for plane in old)
            elapsed_ms = fleet.planes["vm00"].node.clock.now_ms() - start_ms
            return elapsed_ms > limit_ms and has_converged(fleet, 1)

        await fleet.wait_until(is_observed)
        assert find_relays(fleet) == before
        reply = await fleet.planes["vm99"].commit(
            base_version=1,
            change_id="change-2",
            document_json=dump_document(make_document(2)),
        )
        assert reply.result == "store_unreachable"
        fleet.store.is_down = False
        fleet.store.set_config(make_document(2))
        await fleet.wait_until(
            lambda: has_converged(fleet, 2) and len(find_relays(fleet)) == 3
        )

    run_fleet(scenario)


def test_only_a_partitioned_domain_becomes_stale() -> None:
    """Guard against a partitioned domain that treats an old version as new."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 6)
        isolated = {
            vm for vm, plane in fleet.planes.items() if _domain(plane) == "oviedo"
        }
        for vm in isolated:
            fleet.views[vm].is_cut_off = True
        await fleet.network.block(lambda a, b: (a == "oviedo") != (b == "oviedo"))
        fleet.store.set_config(make_document(2))

        def is_split() -> bool:
            fresh = {vm for vm, plane in fleet.planes.items() if plane.is_fresh()}
            assert fresh >= fleet.planes.keys() - isolated
            return fresh == fleet.planes.keys() - isolated

        await fleet.wait_until(is_split)
        for vm in isolated:
            fleet.views[vm].is_cut_off = False
        await fleet.network.block(lambda a, b: False)
        await fleet.wait_until(lambda: has_converged(fleet, 2))

    run_fleet(scenario)


def test_domain_that_cannot_reach_the_store_stays_fresh_through_other_relays() -> None:
    """Guard against staleness while other relays reach the store."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 6)
        for vm, plane in fleet.planes.items():
            fleet.views[vm].is_cut_off = _domain(plane) == "oviedo"
        fleet.store.set_config(make_document(2))
        await fleet.wait_until(lambda: has_converged(fleet, 2))
        start_ms = fleet.planes["vm00"].node.clock.now_ms()

        def is_observed() -> bool:
            assert all(plane.is_fresh() for plane in fleet.planes.values())
            return fleet.planes["vm00"].node.clock.now_ms() - start_ms > 4_000

        await fleet.wait_until(is_observed)

    run_fleet(scenario)


def test_only_an_isolated_daemon_becomes_stale() -> None:
    """Guard against an isolated daemon that stays fresh or affects others."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 3)
        await fleet.start("alone", "oviedo")
        await fleet.wait_until(lambda: has_converged(fleet, 1))
        fleet.views["alone"].is_cut_off = True
        fleet.network.group_of_address[fleet.planes["alone"].address] = "alone"
        plane = fleet.planes["alone"]
        plane.node.connect = lambda address: fleet.network.connect("alone", address)
        assert plane.node.parent is not None
        plane.node.parent.close("cut")
        fleet.network.is_blocked = lambda a, b: "alone" in (a, b)
        await fleet.wait_until(lambda: not plane.is_fresh())
        others = [other for other in fleet.planes.values() if other is not plane]
        assert all(other.is_fresh() for other in others)
        fleet.network.is_blocked = lambda a, b: False
        await fleet.wait_until(lambda: has_converged(fleet, 1))

    run_fleet(scenario)


@pytest.mark.parametrize("lost", [0, 1])
def test_commit_is_applied_once_even_if_its_reply_is_lost(lost: int) -> None:
    """Guard against a retried commit that is applied twice."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 4)
        fleet.store.lost_put_replies = lost

        async def commit(vm: str, change_id: str) -> str:
            reply = await fleet.planes[vm].commit(
                base_version=1,
                change_id=change_id,
                document_json=dump_document(make_document(2)),
            )
            return reply.result

        results = [await commit("vm03", "change-2"), await commit("vm00", "change-2")]
        assert results[0] in ("applied", "already_applied")
        assert results[1] == "already_applied"
        await fleet.wait_until(lambda: has_converged(fleet, 2))
        assert fleet.store.modified_revisions[
            "config/current"
        ] == fleet.store.newest_revision("config/")
        assert await commit("vm02", "another") in ("conflict", "invalid")

    run_fleet(scenario)


def test_relay_that_reaches_a_minority_commits_no_change() -> None:
    """Guard against a commit that the majority of domains does not learn of.

    The majority mistakes the partition for a store outage and keeps its
    version.
    """

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 6)
        isolated = {
            vm for vm, plane in fleet.planes.items() if _domain(plane) == "oviedo"
        }
        for vm, view in fleet.views.items():
            view.is_cut_off = vm not in isolated
        await fleet.network.block(lambda a, b: (a == "oviedo") != (b == "oviedo"))

        async def commit(vm: str) -> str:
            reply = await fleet.planes[vm].commit(
                base_version=1,
                change_id="change-2",
                document_json=dump_document(make_document(2)),
            )
            return reply.result

        relay = next(vm for vm in isolated if fleet.planes[vm].is_relay())
        # No daemon can have detected the partition yet.
        assert await commit(relay) == "minority"
        others = [plane for vm, plane in fleet.planes.items() if vm not in isolated]
        await fleet.wait_until(
            lambda: not any(p.node.has_reached_store() for p in others)
        )
        assert await commit(relay) == "minority"
        assert not any(
            plane.node.config_log.version > 1 for plane in fleet.planes.values()
        )
        await fleet.network.block(lambda a, b: False)
        await fleet.wait_until(lambda: len(fleet.planes[relay].other_relays()) == 2)
        assert await commit(relay) in ("applied", "already_applied")
        await fleet.wait_until(lambda: has_converged(fleet, 2))

    run_fleet(scenario)


def test_older_version_in_the_store_is_not_applied() -> None:
    """Guard against a version that decreases after a store rollback."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 4)
        fleet.store.set_config(make_document(5))
        await fleet.wait_until(lambda: has_converged(fleet, 5))
        fleet.store.set_config(make_document(3))
        planes = fleet.planes.values()
        await fleet.wait_until(
            lambda: all(
                plane.state()["config_refused"] > 0
                for plane in planes
                if plane.is_relay()
            )
        )
        assert has_converged(fleet, 5)
        # A daemon that starts now must never apply the old version.
        await fleet.start("vm99", "oviedo")
        await fleet.wait_until(lambda: has_converged(fleet, 5))

    run_fleet(scenario)


def test_status_names_unreachable_relays_and_domains() -> None:
    """Guard against a status that omits what it could not reach."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 6)
        plane = fleet.planes["vm00"]

        async with asyncio.timeout(15):
            while (await plane.fleet_status()).daemons_by_version != {1: 6}:
                await asyncio.sleep(0.05)
        gone = next(vm for vm in find_relays(fleet) if vm != "vm00")
        await fleet.kill(gone)
        status = await plane.fleet_status()
        assert status.unreachable_relays == (gone,)
        assert len(status.unreachable_domains) == 1
        assert status.members_unheard > 0

    run_fleet(scenario)


def test_silent_stream_is_replaced_by_a_new_connection() -> None:
    """Guard against a new stream that reuses the silent connection."""

    async def scenario(fleet: Fleet) -> None:
        proxy = SilentProxy()
        await proxy.start()
        relay = await fleet.start(
            "relay", "bilbao", advertised_control_address=proxy.address
        )
        proxy.target = f"127.0.0.1:{relay.port}"
        fleet.store.set_config(make_document(1))
        await fleet.wait_until(relay.is_relay)
        child = await fleet.start("child", "bilbao")
        await fleet.wait_until(lambda: has_converged(fleet, 1))
        proxy.silence()
        before = proxy.connections
        await fleet.wait_until(lambda: child.state()["attachments"] == 2)
        assert proxy.connections > before
        fleet.store.set_config(make_document(2))
        await fleet.wait_until(lambda: has_converged(fleet, 2))
        await proxy.stop()

    run_fleet(scenario)


def test_call_on_a_silent_channel_times_out_and_the_next_one_succeeds() -> None:
    """Guard against calls that keep using a silent channel."""

    async def scenario(fleet: Fleet) -> None:
        proxy = SilentProxy()
        await proxy.start()
        server = await fleet.start("server", "bilbao")
        caller = await fleet.start("caller", "bilbao")
        proxy.target = server.address
        request = PromiseRequest(failure_domain="bilbao")
        first = await caller.promise(proxy.address, request)
        proxy.silence()
        second = await caller.promise(proxy.address, request, timeout_ms=200)
        third = await caller.promise(proxy.address, request)
        assert isinstance(first, Success)
        assert isinstance(second, Failure)
        assert second.failure().peer == proxy.address
        assert isinstance(third, Success)
        await proxy.stop()

    run_fleet(scenario)


def test_relay_that_lost_its_slot_steps_down_and_keeps_its_children() -> None:
    """Guard against two daemons that act as relay for one slot."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 7, tree_fan_out_count=8)
        vm = find_relays(fleet)[0]
        plane = fleet.planes[vm]
        children = plane.state()["children"]
        assert children
        slot = plane.state()["relay_slot"]
        with fleet.store.lock:
            record = json.loads(fleet.store.items[slot].value)
            fleet.store.revoke_lease(record["lease_id"])
            fleet.store.write(slot, json.dumps({**record, "vm": "other"}))
        await fleet.wait_until(lambda: not plane.is_relay())
        await fleet.wait_until(lambda: bool(plane.state()["parent"]))
        fleet.store.set_config(make_document(2))
        await fleet.wait_until(lambda: has_converged(fleet, 2))
        assert set(plane.state()["children"]) >= set(children)

    run_fleet(scenario)


def test_relay_whose_lease_expired_reacquires_its_free_slot() -> None:
    """Guard against a slot that stays free after its lease expired."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 3)
        plane = fleet.planes["vm00"]
        slot = plane.state()["relay_slot"]
        lease = fleet.store.lease_by_key[slot]
        with fleet.store.lock:
            fleet.store.revoke_lease(lease)
        await fleet.wait_until(
            lambda: fleet.store.lease_by_key.get(slot, lease) != lease
        )
        assert plane.is_relay()

    run_fleet(scenario)


def test_only_relays_call_the_store_and_at_a_bounded_rate() -> None:
    """Guard against a load on the store that grows with the fleet."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 9)
        before = {vm: plane.state() for vm, plane in fleet.planes.items()}
        start_ms = fleet.planes["vm00"].node.clock.now_ms()
        await fleet.wait_until(
            lambda: (
                fleet.planes["vm00"].node.clock.now_ms() - start_ms > 20 * HEARTBEAT_MS
            )
        )
        elapsed_ms = fleet.planes["vm00"].node.clock.now_ms() - start_ms
        for vm, plane in fleet.planes.items():
            calls = plane.state()["store_calls"] - before[vm]["store_calls"]
            # Two watches per heartbeat, a list every five, a renewal every
            # 200 ms, and one call of each kind that was in flight.
            limit = elapsed_ms / HEARTBEAT_MS * (2 + 0.25 + HEARTBEAT_MS / 200) + 3
            assert calls <= (limit if plane.is_relay() else 0)
        assert len(find_relays(fleet)) == 3

    run_fleet(scenario)


def test_daemon_leaves_a_parent_that_is_its_descendant() -> None:
    """Guard against a cycle in the control tree."""

    async def scenario(fleet: Fleet) -> None:
        await start_converged(fleet, 7, tree_fan_out_count=2)
        plane = next(
            plane for plane in fleet.planes.values() if plane.state()["parent"]
        )
        assert plane.node.parent is not None
        plane._parent.apply_path(
            plane.node.parent, ("vm98", plane.state()["vm"], "vm99")
        )
        assert plane.state()["path"][0] != "vm98"
        await fleet.wait_until(lambda: plane.state()["attachments"] == 2)
        await fleet.wait_until(lambda: has_converged(fleet, 1))

    run_fleet(scenario)


def _domain(plane: ControlPlane) -> str:
    return plane._settings.failure_domain
