"""Guard against state that is lost or reverted when the store is restored."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import cast

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.mesh.app import Application
from eelgrassweir.mesh.lease_renewal import LeaseRenewer
from eelgrassweir.mesh.registration import Registration
from eelgrassweir.mesh.source_selector import SourceSelector
from eelgrassweir.platform.store import PlatformStore
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.store.items import Lease, LeaseGone
from testing.mesh.fleet import (
    KEY,
    BackendStandIn,
    MeshFleet,
    add_target,
    make_route,
    mesh_fleet,
    wait_until,
)
from testing.stand_ins.platform_store import PlatformStoreStandIn

KEYED = ("X-Credential", KEY)
REWRITE_S = 2.0
VALUE = b"entry"
# Kept by the store while other VMs' leases end.
LEASE_MS = 400


class RestoringStore(PlatformStoreStandIn):
    """Store that is restored once, before or after it serves one call."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self.state = self.copy()
        self.path = ""
        self.is_after = False
        # Revisions on which the writes were conditional.
        self.expected: list[int] = []

    def restore_at(self, path: str, *, is_after: bool) -> None:
        """Be restored at the next call of a path."""
        self.path, self.is_after = path, is_after

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path.startswith("/-/kv-txn"):
            (condition,) = json.loads(request.body)["expected"]
            self.expected.append(condition["revision"])
        if not self.path or not request.path.startswith(self.path):
            return await super()._handle(request)
        self.path = ""
        if not self.is_after:
            self.restore(self.state)
            return await super()._handle(request)
        response = await super()._handle(request)
        self.restore(self.state)
        return response


def run_registration(
    scenario: Callable[[RestoringStore, Registration], Awaitable[None]],
) -> None:
    """Run a scenario with a registration that has no feed."""

    async def run() -> None:
        stand_in = RestoringStore()
        clock = Clock()
        store = PlatformStore(await stand_in.start(), clock=clock, timeout_ms=300)
        registration = Registration(
            store,
            clock=clock,
            key="members/v",
            lease_ms=LEASE_MS,
            get_revision=lambda _era: 0,
        )
        task = asyncio.create_task(registration.run())
        try:
            await scenario(stand_in, registration)
        finally:
            task.cancel()
            store.close()
            await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("is_after", [False, True])
@pytest.mark.parametrize("path", ["/-/kv-lease", "/-/kv-txn", "/-/kv-keep"])
def test_entry_is_written_again_whenever_the_era_rises(
    path: str, is_after: bool
) -> None:
    """Guard against a daemon that keeps a lost entry or another VM's lease."""

    async def scenario(stand_in: RestoringStore, registration: Registration) -> None:
        stand_in.restore_at(path, is_after=is_after)
        registration.set_value(VALUE)
        await wait_until(lambda: stand_in.era == 2, REWRITE_S)
        await wait_until(lambda: "members/v" in stand_in.items, REWRITE_S)
        # The entry lives on under its own lease.
        await asyncio.sleep(3 * LEASE_MS / 1e3)
        assert "members/v" in stand_in.items

    run_registration(scenario)


@pytest.mark.parametrize("has_ended", [False, True])
def test_write_is_not_conditional_on_a_revision_of_before(has_ended: bool) -> None:
    """Guard against a condition that matches an item of the copy by accident.

    The lease may have ended before the era rises.
    """

    async def scenario(stand_in: RestoringStore, registration: Registration) -> None:
        registration.set_value(VALUE)
        assert await registration.wait_until_written(1_000)
        if has_ended:
            stand_in.expire_leases()
            stand_in.restore_at("/-/kv-lease", is_after=False)
        else:
            stand_in.restore(stand_in.state)
        await wait_until(lambda: len(stand_in.expected) > 1)
        assert stand_in.era == 2
        assert stand_in.expected == [0, 0]

    run_registration(scenario)


@pytest.mark.parametrize("step", ["before", "at the call", "after it"])
def test_entry_is_removed_when_the_era_rises(step: str) -> None:
    """Guard against a stop that fails because its lease is of an earlier era.

    Its process would end with an error. The era may be known already.
    """

    async def scenario(stand_in: RestoringStore, registration: Registration) -> None:
        registration.set_value(VALUE)
        assert await registration.wait_until_written(1_000)
        if step == "before":
            stand_in.restore(stand_in.state)
            await registration._store.grant_lease(LEASE_MS)
        else:
            stand_in.restore_at("/-/kv-lease-end", is_after=step == "after it")
        await registration.remove_entry()
        assert stand_in.era == 2
        assert not stand_in.items

    run_registration(scenario)


def test_lease_of_another_vm_with_the_same_id_is_left_alone() -> None:
    """Guard against renewing or revoking a lease that was issued again."""

    async def scenario(stand_in: RestoringStore, registration: Registration) -> None:
        registration.set_value(VALUE)
        assert await registration.wait_until_written(1_000)
        lease_id = stand_in.items["members/v"]["lease"]
        stand_in.restore(stand_in.state)
        other = PlatformStore(
            f"127.0.0.1:{stand_in._server.port}", clock=Clock(), timeout_ms=300
        )
        lease = await other.grant_lease(60_000)
        assert lease == Lease(era=2, lease_id=lease_id)
        await other.write("members/w", b"", lease=lease, expected_revision=0)
        await wait_until(lambda: "members/v" in stand_in.items)
        assert stand_in.items["members/v"]["lease"] != lease_id
        await registration.remove_entry()
        assert list(stand_in.items) == ["members/w"]
        other.close()

    run_registration(scenario)


@pytest.mark.parametrize("is_after", [False, True])
@pytest.mark.parametrize(
    "path", ["/-/kv-range", "/-/kv-watch", "/-/kv-range?prefix=op"]
)
def test_reader_is_up_to_date_whenever_the_era_rises(path: str, is_after: bool) -> None:
    """Guard against a reader that asks with the revisions of before."""

    async def scenario() -> None:
        store = RestoringStore()
        fleet = MeshFleet(store, await store.start())
        try:
            daemon, _ = await add_target(fleet)
            for _ in range(5):
                fleet.configure(make_route("/a/", "notes"))
            await fleet.wait_until_converged()
            if path.endswith("op"):
                # The configuration is read first after an outage.
                store.fault = "busy"
                await wait_until(lambda: is_proof_old(daemon))
            store.restore_at(path, is_after=is_after)
            store.fault = ""
            if path == "/-/kv-range":
                store.put("other", b"")
                store.compact()
            await wait_until(lambda: store.era == 2)
            fleet.configure(make_route("/a/", "notes"))
            await fleet.wait_until_converged()
            await wait_until(lambda: "members/vm-0" in store.items, REWRITE_S)
            await wait_until(lambda: not is_proof_old(daemon), REWRITE_S)
            assert daemon.feed.replica.era == 2
        finally:
            await fleet.stop()

    asyncio.run(scenario())


def is_proof_old(daemon: Application) -> bool:
    """Return whether the configuration must be read for a proof."""
    age_ms = daemon.feed.freshness.age_ms(daemon.clock.now_ms())
    return age_ms is None or age_ms > 2 * daemon.settings.store_watch_ms


class _AnsweringLinks:
    """Links whose peers renew leases by a renewer."""

    def __init__(self, renewer: LeaseRenewer) -> None:
        self._renewer = renewer

    async def renew_lease(
        self, _address: str, _incarnation: str, request: link_pb2.RenewLease, **_: float
    ) -> link_pb2.Renewal:
        """Pass a request to the peer."""
        return await self._renewer.serve(request)


class _OnePeer:
    def list_usable(self) -> list[Member]:
        """Return a daemon that reaches the store."""
        return [Member(vm="w")]


def test_peer_does_not_renew_the_lease_of_an_earlier_era() -> None:
    """Guard against a peer that renews another VM's lease with the same id."""

    async def scenario() -> None:
        stand_in = PlatformStoreStandIn()
        stand_in.era = 1
        address = await stand_in.start()
        store = PlatformStore(address, clock=Clock(), timeout_ms=300)
        cut_off = PlatformStore("127.0.0.1:1", clock=Clock(), timeout_ms=300)
        peer = LeaseRenewer(store, cast(LinkPool, None), cast(SourceSelector, None))
        renewer = LeaseRenewer(
            cut_off,
            cast(LinkPool, _AnsweringLinks(peer)),
            cast(SourceSelector, _OnePeer()),
        )
        state = stand_in.copy()
        lease = await store.grant_lease(60_000)
        await renewer.renew(lease)
        stand_in.restore(state)
        assert (await store.grant_lease(60_000)).lease_id == lease.lease_id
        with pytest.raises(LeaseGone):
            await renewer.renew(lease)
        store.close()
        await stand_in.stop()

    asyncio.run(scenario())


def test_members_and_leaves_are_written_again() -> None:
    """Guard against targets and acknowledged leaves lost with the entries."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            fleet.store.era = 1
            empty = fleet.store.copy()
            daemon, backend = await add_target(fleet)
            other = await fleet.add(BackendStandIn("lists", "i-1"))
            await fleet.wait_until_converged()
            response = await daemon.control.handle(backend.make_deregistration())
            assert response.status == 200
            fleet.store.restore(empty)
            fleet.configure(make_route("/a/", "notes"))
            await wait_until(
                lambda: {"members/vm-0", "members/vm-1"} <= fleet.store.items.keys(),
                REWRITE_S,
            )
            await wait_until(lambda: is_leave_known(other))
            assert daemon.backend.is_leaving

    asyncio.run(scenario())


def is_leave_known(daemon: Application) -> bool:
    """Return whether a daemon knows the stored leave of vm-0."""
    member = daemon.directory.members.get("vm-0")
    return member is not None and member.leaving_instance == "i-0"


def test_leave_survives_a_kill_at_the_time_of_the_restore() -> None:
    """Guard against a leave that only the lost entry held."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            fleet.store.era = 1
            daemon, backend = await add_target(fleet)
            others = [
                await fleet.add(BackendStandIn("lists", f"i-{index}"))
                for index in (1, 2)
            ]
            await fleet.wait_until_converged()
            copy = fleet.store.copy()
            response = await daemon.control.handle(backend.make_deregistration())
            assert response.status == 200
            # Acknowledged only once others hold it.
            query = link_pb2.ShareLeaves(vm="vm-0")
            for other in others:
                assert other.leave_replication.serve(query).leaves
            await fleet.kill(daemon)
            fleet.store.restore(copy)
            again = await start_again(fleet, daemon)
            await wait_until(lambda: again.config.current)
            await again.control.handle(backend.make_heartbeat(5))
            await wait_until(lambda: again.backend.is_leaving)

    asyncio.run(scenario())


async def start_again(fleet: MeshFleet, daemon: Application) -> Application:
    """Start the next process of a daemon that was killed."""
    again = fleet.make_daemon(daemon.settings)
    await again.start()
    fleet.daemons.append(again)
    return again


def test_withdrawn_key_does_not_work_after_a_restore() -> None:
    """Guard against a configuration that reverts to that of the copy."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            fleet.store.era = 1
            daemon, backend = await add_target(fleet)
            route = make_route("/a/", "notes", public=False)
            fleet.configure(route)
            await fleet.wait_until_converged()
            assert (await fleet.call(daemon, "/a/", KEYED)).status == 200
            copy = fleet.store.copy()
            fleet.configure(route, apiKeys=[])
            await fleet.wait_until_converged()
            fleet.store.restore(copy)
            await wait_until(lambda: daemon.feed.replica.era == 2)
            await asyncio.sleep(0.3)
            assert daemon.config.is_store_behind
            assert (await fleet.call(daemon, "/a/", KEYED)).status == 401
            fleet.version -= 1
            fleet.configure(route, apiKeys=[])
            await wait_until(lambda: not daemon.config.is_store_behind)
            assert (await fleet.call(daemon, "/a/", KEYED)).status == 401
            assert len(backend.runs) == 1

    asyncio.run(scenario())


def test_key_is_not_accepted_until_the_store_shows_the_version_in_force() -> None:
    """Guard against a withdrawal that is lost before a daemon sees it.

    The key may have been withdrawn in a version after the one in force.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            fleet.store.era = 1
            daemon, _ = await add_target(fleet)
            copy = fleet.store.copy()
            route = make_route("/a/", "notes", public=False)
            fleet.configure(route)
            await fleet.wait_until_converged()
            fleet.store.restore(copy)
            await wait_until(lambda: daemon.feed.replica.era == 2)
            assert (await fleet.call(daemon, "/a/", KEYED)).status == 503
            fleet.version -= 1
            fleet.configure(route)
            await wait_until(lambda: not daemon.config.is_store_behind)
            assert (await fleet.call(daemon, "/a/", KEYED)).status == 200

    asyncio.run(scenario())


def test_holder_stays_the_same_through_a_restore() -> None:
    """Guard against two holders that lend at the same time.

    The copy lacks the holder, which joined later.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            fleet.store.era = 1
            empty = fleet.store.copy()
            first, _ = await add_target(fleet)
            second = await fleet.add(BackendStandIn("lists", "i-1"))
            await fleet.wait_until_converged()
            fleet.store.restore(empty)
            fleet.configure(make_route("/a/", "notes"))
            end_s = asyncio.get_running_loop().time() + 2 * REWRITE_S
            while asyncio.get_running_loop().time() < end_s:
                for daemon in (first, second):
                    holders = daemon.lending.find_reachable_holders()
                    assert [member.vm for member in holders] == ["vm-0"]
                await asyncio.sleep(0.02)
            assert {first.feed.replica.era, second.feed.replica.era} == {2}

    asyncio.run(scenario())
