"""Guard against revisions and leases of a store that was restored since."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_message import HttpResponse
from eelgrassweir.errors import StepError
from eelgrassweir.platform.store import PlatformStore
from eelgrassweir.store.items import EraChanged, HistoryGone, Lease, LeaseGone

LEASE = Lease(era=1, lease_id=100)
CALLS: dict[str, Callable[[PlatformStore], Awaitable[object]]] = {
    "read": lambda store: store.read("k", era=1),
    "watch": lambda store: store.watch(5, 10, era=1),
    "renew": lambda store: store.renew_lease(LEASE),
    "revoke": lambda store: store.revoke_lease(LEASE),
    "write": lambda store: store.write("k", b"", lease=LEASE, expected_revision=5),
}
PAGE: dict[str, Any] = {
    "items": [{"key": "k", "value": "", "revision": 5}],
    "events": [{"key": "k", "value": "", "revision": 6}],
    "storeRevision": 6,
    "lease": 101,
    "revision": 6,
}


class ScriptedStore(PlatformStore):
    """Client whose exchanges return one response after another."""

    def __init__(self, *responses: tuple[int, str, dict[str, Any]]) -> None:
        super().__init__("127.0.0.1:1", clock=Clock(), timeout_ms=100)
        self.responses = list(responses)

    async def _exchange(self, *_args: Any, **_options: Any) -> HttpResponse:
        self.call_count += 1
        status, era, body = self.responses.pop(0)
        fields = (("Store-Era", era),) if era else ()
        return HttpResponse(status, fields, json.dumps(body).encode())


async def learn_era(store: PlatformStore) -> None:
    """Let the client know the era of its next response."""
    await store.grant_lease(1_000)


@pytest.mark.parametrize("name", CALLS)
def test_call_for_an_earlier_era_is_not_sent(name: str) -> None:
    """Guard against an id or revision that matches another one by accident."""

    async def scenario() -> None:
        store = ScriptedStore((200, "2", PAGE), (200, "2", PAGE))
        await learn_era(store)
        with pytest.raises(EraChanged):
            await CALLS[name](store)
        assert store.call_count == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("status", [200, 404, 410, 412])
@pytest.mark.parametrize("name", CALLS)
def test_era_that_rises_during_a_call_voids_its_result(name: str, status: int) -> None:
    """Guard against an answer of the restored store to an earlier question."""

    async def scenario() -> None:
        store = ScriptedStore((200, "1", PAGE), (status, "2", PAGE))
        await learn_era(store)
        with pytest.raises(EraChanged):
            await CALLS[name](store)

    asyncio.run(scenario())


@pytest.mark.parametrize("status", [200, 404, 410, 412])
@pytest.mark.parametrize("era", ["", "1"])
def test_late_response_of_an_earlier_era_is_dropped(era: str, status: int) -> None:
    """Guard against a late response that brings back what was lost."""

    async def scenario() -> None:
        store = ScriptedStore((200, "2", PAGE), *[(status, era, PAGE)] * 3)
        await learn_era(store)
        calls: tuple[Callable[[], Awaitable[object]], ...] = (
            store.read_all,
            lambda: store.watch(5, 10, era=2),
            lambda: store.grant_lease(1_000),
        )
        for call in calls:
            with pytest.raises(StepError):
                await call()

    asyncio.run(scenario())


def test_era_that_rises_between_two_pages_voids_both() -> None:
    """Guard against items of two eras in one snapshot."""

    async def scenario() -> None:
        first = PAGE | {"hasMore": True}
        store = ScriptedStore((200, "1", first), (200, "2", PAGE))
        with pytest.raises(EraChanged):
            await store.read_all()

    asyncio.run(scenario())


def test_items_and_leases_carry_the_era_of_their_response() -> None:
    """Guard against a revision that is compared in the wrong era."""

    async def scenario() -> None:
        store = ScriptedStore(*[(200, "3", PAGE)] * 3)
        snapshot = await store.read_all()
        assert (snapshot.era, snapshot.items[0].era) == (3, 3)
        changes = await store.watch(5, 10, era=3)
        assert changes.changes[0].era == 3
        assert await store.grant_lease(1_000) == Lease(era=3, lease_id=101)

    asyncio.run(scenario())


@pytest.mark.parametrize("era", ["x", "-1", "1.5", "٢", "9" * 5_000])
def test_malformed_era_is_a_step_error(era: str) -> None:
    """Guard against a header that ends the task that calls."""

    async def scenario() -> None:
        with pytest.raises(StepError):
            await ScriptedStore((200, era, PAGE)).read_all()

    asyncio.run(scenario())


def test_store_without_the_header_is_in_era_0() -> None:
    """Guard against a change for stores that are never restored."""

    async def scenario() -> None:
        store = ScriptedStore(
            (200, "", PAGE), (200, "", PAGE), (410, "", PAGE), (404, "", PAGE)
        )
        assert (await store.read_all()).era == 0
        lease = await store.grant_lease(1_000)
        with pytest.raises(HistoryGone):
            await store.watch(5, 10, era=0)
        with pytest.raises(LeaseGone):
            await store.renew_lease(lease)

    asyncio.run(scenario())
