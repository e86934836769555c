"""Guard against a share with two holders, and against one without any."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest
from returns.result import Failure, Result, Success

from eelgrassweir.daemon.share_interfaces import Successor
from eelgrassweir.daemon.share_service import ShareService
from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2
from eelgrassweir.settings.generated import Settings
from testing.shares.virtual_time import LoopClock, run_inline, run_virtual

LEASE_MS = 5000
OUTAGE_MS = 60_000
KEY = "shares/holder/oviedo"
RECORD = "shares/record/oviedo"


@attrs.frozen
class Value:
    value: str
    revision: int


@attrs.define
class Lease:
    ttl_ms: int
    until_ms: float


class FakeStore:
    """Store in memory that can be down or lose the reply of a call."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.items: dict[str, tuple[Value, str]] = {}
        self.leases: dict[str, Lease] = {}
        self.revision = 0
        self.is_down = False
        self.lost_replies: set[str] = set()

    def expire(self) -> None:
        now_ms = self.clock.now_ms()
        ended = [k for k, v in self.leases.items() if v.until_ms <= now_ms]
        for lease_id in ended:
            self.end_lease(lease_id)

    def end_lease(self, lease_id: str) -> None:
        self.leases.pop(lease_id, None)
        bound_keys = [k for k, (_, owner) in self.items.items() if owner == lease_id]
        for key in bound_keys:
            del self.items[key]


class StoreLink:
    """Connection of one daemon to the store, which can be cut."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.is_cut = False

    def run(self, step: str, call: Callable[[], Any]) -> Result[Any, StepError]:
        error = Failure(StepError(step, "store", "no answer"))
        if self.is_cut or self.store.is_down:
            return error
        self.store.expire()
        result = call()
        if step in self.store.lost_replies:
            self.store.lost_replies.discard(step)
            return error
        return Success(result)

    def get(self, key: str) -> Result[Any, StepError]:
        return self.run("get", lambda: self.store.items.get(key, (None, ""))[0])

    def put(
        self, key: str, value: str, *, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        def write() -> int | None:
            known = self.store.items.get(key)
            if (known[0].revision if known else 0) != expect_revision:
                return None
            if lease_id and lease_id not in self.store.leases:
                return None
            self.store.revision += 1
            self.store.items[key] = (Value(value, self.store.revision), lease_id)
            return self.store.revision

        return self.run(f"put {key}", write)

    def delete(self, key: str, *, expect_revision: int) -> Result[bool, StepError]:
        def remove() -> bool:
            known = self.store.items.get(key)
            if known is None or known[0].revision != expect_revision:
                return False
            del self.store.items[key]
            return True

        return self.run("delete", remove)

    def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        def grant() -> str:
            self.store.revision += 1
            lease_id = f"lease{self.store.revision}"
            until_ms = self.store.clock.now_ms() + ttl_ms
            self.store.leases[lease_id] = Lease(ttl_ms, until_ms)
            return lease_id

        return self.run("grant_lease", grant)

    def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        def renew() -> bool:
            lease = self.store.leases.get(lease_id)
            if lease is None:
                return False
            lease.until_ms = self.store.clock.now_ms() + lease.ttl_ms
            return True

        return self.run("renew_lease", renew)

    def revoke_lease(self, lease_id: str) -> Result[None, StepError]:
        return self.run("revoke_lease", lambda: self.store.end_lease(lease_id))


@attrs.frozen
class Team:
    rate_per_s: float
    burst_calls: int


@attrs.frozen
class Config:
    version: int
    teams: dict[str, Team]
    failure_domains: tuple[str, ...]


CONFIG = Config(1, {"fichero": Team(100.0, 40)}, ("bilbao", "oviedo"))


class Domain:
    """Relays of one failure domain, one store and the network between them."""

    def __init__(self, count: int) -> None:
        self.store = FakeStore()
        self.clock = LoopClock()
        self.links: dict[str, StoreLink] = {}
        self.services: dict[str, ShareService] = {}
        # Daemons that can neither request nor give promises.
        self.isolated: set[str] = set()
        for index in range(count):
            self.add(f"vm{index}")

    def add(self, vm: str, incarnation: str = "1") -> ShareService:
        self.links[vm] = StoreLink(self.store)
        settings = Settings(
            vm=vm,
            failure_domain="oviedo",
            store_urls=(),
            control_address=vm,
            admin_address="",
            lease_ms=LEASE_MS,
            outage_limit_ms=OUTAGE_MS,
            ingress_address="",
            egress_address="",
            link_address="",
        )
        service = ShareService(
            self.clock,
            settings,
            self.links[vm],
            vm,
            incarnation,
            vm,
            self.successors,
            lambda address, request: self.send(vm, address, request),
            lambda: CONFIG,
        )
        service.set_candidate(True)
        self.services[vm] = service
        return service

    def successors(self) -> list[Successor]:
        return [
            Successor(vm=vm, incarnation="1", control_address=vm)
            for vm in self.services
        ]

    async def send(
        self, sender: str, address: str, request: control_pb2.PromiseRequest
    ) -> Result[control_pb2.PromiseReply, StepError]:
        await asyncio.sleep(0.001)
        service = self.services.get(address)
        if service is None or {sender, address} & self.isolated:
            await asyncio.sleep(3600)
        assert service is not None
        return Success(await service.promise(request))

    async def start(self) -> str:
        """Start all relays and return the holder once it has successors."""
        for service in self.services.values():
            await service.start()
        await self.wait_until(lambda: self.holder() is not None, 2000)
        await asyncio.sleep(LEASE_MS / 1000)
        holder = self.holder()
        assert holder is not None
        return holder

    def holders(self) -> list[str]:
        return [vm for vm, service in self.services.items() if service.is_holder()]

    def holder(self) -> str | None:
        """Return the holder after checking that there is at most one."""
        holders = self.holders()
        assert len(holders) <= 1, holders
        return holders[0] if holders else None

    async def wait_until(
        self, condition: Callable[[], bool], timeout_ms: float
    ) -> float:
        """Wait for a condition and return the time that it took, in ms.

        Checks all the time that there is at most one holder.
        """
        start_ms = self.clock.now_ms()
        while not condition():
            assert self.clock.now_ms() - start_ms < timeout_ms, "deadline"
            self.holder()
            await asyncio.sleep(0.01)
        return self.clock.now_ms() - start_ms

    async def collect_holders(self, span_ms: float) -> set[str | None]:
        """Return all holders seen within a time; None for no holder."""
        seen = set()
        end_ms = self.clock.now_ms() + span_ms
        while self.clock.now_ms() < end_ms:
            seen.add(self.holder())
            await asyncio.sleep(0.01)
        return seen

    def kill(self, vm: str) -> None:
        """Stop a relay without releasing the share, as a crash does."""
        service = self.services.pop(vm)
        for task in service._tasks:
            task.cancel()


@pytest.fixture(autouse=True)
def inline_store(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(asyncio, "to_thread", run_inline)


def run(test: Callable[[Domain], Coroutine[Any, Any, None]], count: int = 3) -> None:
    async def main() -> None:
        domain = Domain(count)
        await test(domain)
        await asyncio.gather(*(s.stop() for s in domain.services.values()))

    run_virtual(main())


def test_dead_holder_is_replaced_by_a_named_successor_after_two_leases() -> None:
    """Guard against a takeover that is too early, or that never comes."""

    async def main(domain: Domain) -> None:
        domain.kill(await domain.start())
        took_ms = await domain.wait_until(lambda: domain.holder() is not None, 12_000)
        assert took_ms > LEASE_MS

    run(main)


def test_graceful_stop_releases_the_share_at_once() -> None:
    """Guard against a stop that leaves the share without a holder."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        await domain.services.pop(first).stop()
        await domain.wait_until(lambda: domain.holder() is not None, 1000)

    run(main)


def test_store_outage_stops_no_holder_and_starts_no_second() -> None:
    """Guard against a holder lost in an outage, or kept past its limit."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        domain.store.is_down = True
        assert await domain.collect_holders(OUTAGE_MS - 2 * LEASE_MS) == {first}
        domain.store.is_down = False
        assert await domain.collect_holders(10 * LEASE_MS) == {first}
        domain.store.is_down = True
        await domain.wait_until(lambda: domain.holder() is None, OUTAGE_MS)

    run(main)


def test_holder_cut_off_from_the_store_keeps_the_share_by_promises() -> None:
    """Guard against a takeover by a relay that has promised to wait."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        domain.links[first].is_cut = True
        assert await domain.collect_holders(OUTAGE_MS - 2 * LEASE_MS) == {first}

    run(main)


def test_isolated_holder_stops_before_a_successor_starts() -> None:
    """Guard against a cut-off holder that lends while its successor does."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        domain.links[first].is_cut = True
        domain.isolated.add(first)
        await domain.wait_until(lambda: domain.holder() is None, LEASE_MS)
        await domain.wait_until(lambda: domain.holder() is not None, 2 * LEASE_MS)
        assert domain.holder() != first

    run(main)


def test_successor_that_lost_its_promises_waits_for_the_outage_limit() -> None:
    """Guard against a takeover by a restarted successor without promises."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        domain.links[first].is_cut = True
        await asyncio.sleep(LEASE_MS / 1000)
        for vm in [vm for vm in domain.services if vm != first]:
            domain.kill(vm)
            await domain.add(vm, "2").start()
        domain.links[first].is_cut = True
        seen = await domain.collect_holders(OUTAGE_MS - 3 * LEASE_MS)
        assert seen <= {first, None}

    run(main)


@pytest.mark.parametrize(
    "step", [f"put {KEY}", f"put {RECORD}", "grant_lease", "renew_lease"]
)
def test_lost_reply_of_the_store_leaves_one_holder(step: str) -> None:
    """Guard against a write that takes effect although its call failed."""

    async def main(domain: Domain) -> None:
        domain.store.lost_replies.add(step)
        for service in domain.services.values():
            await service.start()
        await domain.wait_until(lambda: domain.holder() is not None, 4 * LEASE_MS)
        first = domain.holder()
        await asyncio.sleep(LEASE_MS / 1000)
        domain.store.lost_replies.add(step)
        # A relay that joins makes the holder rewrite its record.
        domain.kill(next(vm for vm in domain.services if vm != first))
        await domain.add("vm9").start()
        assert await domain.collect_holders(4 * LEASE_MS) == {first}

    run(main)


def test_replaced_lease_of_a_holder_delays_other_relays() -> None:
    """Guard against a takeover wait that began before the new lease."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        before = domain.store.items[RECORD][0].revision
        domain.store.end_lease(domain.store.items[KEY][1])
        await domain.wait_until(lambda: KEY in domain.store.items, LEASE_MS)
        await asyncio.sleep(LEASE_MS / 1000)
        assert domain.holder() == first
        assert domain.store.items[RECORD][0].revision > before

    run(main)


def test_borrow_needs_a_permit_and_is_limited_to_the_burst() -> None:
    """Guard against tokens lent without a permit or above the burst."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        request = control_pb2.BorrowRequest(vm="entry", incarnation="1")
        request.requests.add(team="fichero", wanted=30)
        other = next(vm for vm in domain.services if vm != first)
        assert not (await domain.services[other].borrow(request)).is_holder
        reply = await domain.services[first].borrow(request)
        # This failure domain lends half of the burst.
        assert [grant.tokens for grant in reply.grants] == [20]
        again = await domain.services[first].borrow(request)
        assert [grant.tokens for grant in again.grants] == [0]
        domain.links[first].is_cut = True
        domain.isolated.add(first)
        await asyncio.sleep(LEASE_MS / 1000)
        assert not (await domain.services[first].borrow(request)).is_holder

    run(main)


def test_holder_and_relay_taking_over_promise_nothing() -> None:
    """Guard against a promise given during a takeover or by the holder."""

    async def main(domain: Domain) -> None:
        request = control_pb2.PromiseRequest(failure_domain="oviedo", life_ms=1000)
        for service in domain.services.values():
            await service.start()
        # The takeover continues for some ms after its first write.
        while KEY not in domain.store.items:
            assert domain.clock.now_ms() < 2000
            await asyncio.sleep(0.0005)
        assert domain.holder() is None
        value = domain.store.items[KEY][0].value
        taking = next(vm for vm in domain.services if f'"holder":"{vm}"' in value)
        assert not (await domain.services[taking].promise(request)).promised
        await domain.wait_until(lambda: domain.holder() == taking, 2000)
        assert not (await domain.services[taking].promise(request)).promised

    run(main)


def test_daemon_that_is_no_longer_a_relay_releases_the_share() -> None:
    """Guard against a share held by a daemon that is no relay."""

    async def main(domain: Domain) -> None:
        first = await domain.start()
        domain.services[first].set_candidate(False)
        await domain.wait_until(lambda: domain.holder() not in (None, first), 3000)

    run(main)
