"""Holder side of the rate and burst of teams."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import attrs
from eliot import log_message, write_traceback
from returns.result import Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.share_ports import (
    SendPromise,
    ShareConfig,
    Store,
    StoreValue,
    Successor,
)
from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2
from eelgrassweir.settings.generated import Settings
from eelgrassweir.shares.holder import RateLimit, ShareHolder, split_parts
from eelgrassweir.shares.holder_record import (
    HolderRecord,
    dump_record,
    parse_record,
)
from eelgrassweir.shares.permit import GivenPromises, Permit, takeover_at_ms

_NAMED_SUCCESSORS = 2
# A renewal is due this often in one lease, so that several may fail.
_RENEWALS_PER_LEASE = 5
_POLLS_PER_LEASE = 10
# Promises are collected once the store has not renewed the lease for this
# part of it.
_PROMISE_AFTER_FRACTION = 0.3


@attrs.define(kw_only=True)
class _Seat:
    """State of this daemon while it is the holder."""

    holder: ShareHolder
    permit: Permit
    lease_id: str
    key_revision: int
    record: HolderRecord
    record_revision: int
    renewed_ms: float
    # Control addresses by name, kept for daemons that left the list.
    addresses: dict[str, str]
    # Set while a write of the record has no known result: the names it gave
    # and the revision that it expected.
    unsettled: set[str] = attrs.field(factory=set)
    unsettled_revision: int | None = None
    # Set after the lease was replaced, until the record has a new revision.
    # Others take an unchanged record for proof that the lease stayed lapsed.
    must_touch_record: bool = False
    config_version: int | None = None


@attrs.frozen(kw_only=True)
class _Lapse:
    record: HolderRecord | None
    revision: int
    seen_ms: float


class ShareService:
    """Hold the share of the own failure domain while this daemon may.

    The key ``shares/holder/DOMAIN`` is bound to the holder's lease. The key
    ``shares/record/DOMAIN`` stays after the lease has lapsed; it tells who
    may take over and when, and every takeover replaces it by
    compare-and-swap while it has the first key.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        store: Store,
        vm: str,
        incarnation: str,
        control_address: str,
        successors: Callable[[], Sequence[Successor]],
        send_promise: SendPromise,
        config: Callable[[], ShareConfig | None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._control_address = control_address
        self._successors = successors
        self._send_promise = send_promise
        self._config = config
        self._domain = settings.failure_domain
        self._key = f"shares/holder/{self._domain}"
        self._record_key = f"shares/record/{self._domain}"
        self._given_promises = GivenPromises()
        self._seat: _Seat | None = None
        self._lapse: _Lapse | None = None
        self._is_taking = False
        self._is_candidate = False
        self._is_stopping = False
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._current_holder = ""
        self._seats = 0
        self.borrow_calls = 0
        self.granted_tokens = 0
        self.takeovers = 0

    async def start(self) -> None:
        """Start the loops that seek or keep the share."""
        self._tasks = [
            asyncio.create_task(self._run_store()),
            asyncio.create_task(self._run_promises()),
        ]

    async def stop(self) -> None:
        """Stop granting and hand the share over, within one grant life."""
        self._is_stopping = True
        self._wake.set()
        half_s = self._settings.grant_life_ms / 2000.0
        if self._tasks:
            # A write of the record in progress would make the release fail.
            await asyncio.wait(self._tasks[:1], timeout=half_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(half_s):
                await self._hand_over()

    def set_candidate(self, is_candidate: bool) -> None:
        """Say whether this daemon is a relay and so may hold the share."""
        if is_candidate != self._is_candidate:
            self._is_candidate = is_candidate
            self._wake.set()

    def is_holder(self) -> bool:
        """Say whether this daemon may grant now."""
        seat = self._seat
        return seat is not None and seat.permit.is_valid(self._clock.now_ms())

    def holds_shares_of(self) -> str:
        """Return the failure domain whose share this daemon holds, or ""."""
        return self._domain if self.is_holder() else ""

    async def borrow(
        self, request: control_pb2.BorrowRequest
    ) -> control_pb2.BorrowReply:
        """Take reports and lend tokens, while the permit is valid."""
        self.borrow_calls += 1
        now_ms = self._clock.now_ms()
        seat = self._seat
        reply = control_pb2.BorrowReply(
            is_holder=False,
            holder_incarnation=self._incarnation,
            current_holder=self._current_holder,
        )
        if seat is None or not seat.permit.is_valid(now_ms):
            return reply
        self._refresh_parts(seat, now_ms)
        reply.is_holder = True
        borrower = f"{request.vm}/{request.incarnation}"
        for report in request.reports:
            seat.holder.report(
                borrower, report.grant_id, report.spent, report.returned, now_ms
            )
            seat.holder.refund(borrower, report.grant_id, report.refunded, now_ms)
        for wanted in request.requests:
            grant = seat.holder.grant(borrower, wanted.team, wanted.wanted, now_ms)
            self.granted_tokens += grant.tokens
            reply.grants.add(
                team=grant.team,
                grant_id=grant.grant_id,
                tokens=grant.tokens,
                life_ms=grant.life_ms,
                retry_after_ms=grant.retry_after_ms,
            )
        return reply

    async def promise(
        self, request: control_pb2.PromiseRequest
    ) -> control_pb2.PromiseReply:
        """Promise a holder not to take its share over for a while."""
        if (
            self._is_taking
            or self._seat is not None
            or request.failure_domain != self._domain
        ):
            return control_pb2.PromiseReply(promised=False)
        self._given_promises.add(
            self._domain, life_ms=request.life_ms, now_ms=self._clock.now_ms()
        )
        return control_pb2.PromiseReply(promised=True)

    def state(self) -> dict[str, object]:
        """Return role, permit and buckets for the dump."""
        now_ms = self._clock.now_ms()
        seat = self._seat
        state: dict[str, object] = {
            "is_candidate": self._is_candidate,
            "is_holder": self.is_holder(),
            "current_holder": self._current_holder,
            "borrow_calls": self.borrow_calls,
            "granted_tokens": self.granted_tokens,
            "takeovers": self.takeovers,
            "promised_for_ms": max(
                0.0, self._given_promises.promised_until_ms(self._domain) - now_ms
            ),
        }
        if seat is not None:
            state["permit_left_ms"] = seat.permit.valid_until_ms() - now_ms
            state["successors"] = list(seat.record.successors)
            state["epoch"] = seat.record.epoch
            state["teams"] = seat.holder.state(now_ms)
        return state

    def _refresh_parts(self, seat: _Seat, now_ms: float) -> None:
        config = self._config()
        if config is None or config.version == seat.config_version:
            return
        seat.config_version = config.version
        parts: dict[str, RateLimit] = {}
        for team, entry in config.teams.items():
            split = split_parts(
                entry.rate_per_s, entry.burst_calls, config.failure_domains, team
            )
            if self._domain in split:
                parts[team] = split[self._domain]
        seat.holder.set_limits(parts, now_ms)

    async def _run_store(self) -> None:
        lease_ms = self._settings.lease_ms
        while not self._is_stopping:
            delay_ms = lease_ms / _POLLS_PER_LEASE
            try:
                if self._seat is not None:
                    await self._keep(self._seat)
                    delay_ms = lease_ms / _RENEWALS_PER_LEASE
                elif self._is_candidate:
                    await self._seek()
                else:
                    delay_ms = lease_ms
            except Exception:
                # The share would stay without a holder if this loop ended.
                write_traceback()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_ms / 1000.0):
                    await self._wake.wait()
            self._wake.clear()

    async def _run_promises(self) -> None:
        lease_ms = self._settings.lease_ms
        while not self._is_stopping:
            seat = self._seat
            now_ms = self._clock.now_ms()
            if (
                seat is not None
                and now_ms - seat.renewed_ms > lease_ms * _PROMISE_AFTER_FRACTION
            ):
                await self._collect_promises(seat)
            await asyncio.sleep(lease_ms / _POLLS_PER_LEASE / 1000.0)

    async def _collect_promises(self, seat: _Seat) -> None:
        names = set(seat.record.successors) | seat.unsettled
        await asyncio.gather(
            *(
                self._collect_promise(seat, name, seat.addresses[name])
                for name in names
                if name in seat.addresses
            )
        )

    async def _collect_promise(self, seat: _Seat, name: str, address: str) -> None:
        life_ms = self._settings.lease_ms
        request = control_pb2.PromiseRequest(
            failure_domain=self._domain,
            holder=self._vm,
            holder_incarnation=self._incarnation,
            life_ms=life_ms,
        )
        sent_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(life_ms / _RENEWALS_PER_LEASE / 1000.0):
                result = await self._send_promise(address, request)
        except TimeoutError:
            return
        if isinstance(result, Success) and result.unwrap().promised:
            seat.permit.add_promise(
                name, sent_ms=sent_ms, life_ms=life_ms, now_ms=self._clock.now_ms()
            )

    async def _keep(self, seat: _Seat) -> None:
        """Renew the lease and keep the record current."""
        if not seat.permit.is_valid(self._clock.now_ms()):
            await self._leave(seat, "permit lapsed")
            return
        sent_ms = self._clock.now_ms()
        renewed = await asyncio.to_thread(self._store.renew_lease, seat.lease_id)
        if not isinstance(renewed, Success) or self._seat is not seat:
            return
        if not renewed.unwrap():
            await self._replace_lease(seat)
            return
        if not seat.must_touch_record:
            seat.permit.renew(sent_ms=sent_ms, life_ms=self._settings.lease_ms)
            seat.renewed_ms = sent_ms
        if not self._is_candidate:
            await self._hand_over()
            return
        await self._sync_record(seat)

    async def _replace_lease(self, seat: _Seat) -> None:
        """Take the key again after the lease lapsed in an outage."""
        lease = await asyncio.to_thread(
            self._store.grant_lease, self._settings.lease_ms
        )
        if not isinstance(lease, Success):
            return
        lease_id = lease.unwrap()
        seat.must_touch_record = True
        put = await asyncio.to_thread(
            self._put_key, seat.record, lease_id, expect_revision=0
        )
        if not isinstance(put, Success) or put.unwrap() is None:
            await asyncio.to_thread(self._store.revoke_lease, lease_id)
            return
        seat.lease_id = lease_id
        seat.key_revision = put.unwrap() or 0
        await self._sync_record(seat)

    async def _sync_record(self, seat: _Seat) -> None:
        """Write the record when successors change or a new revision is due."""
        named = self._choose_successors(seat.record.successors)
        names = tuple(named)
        is_due = (
            set(names) != set(seat.record.successors)
            or seat.must_touch_record
            or seat.unsettled_revision is not None
        )
        if not is_due:
            return
        if seat.unsettled_revision is not None and not await self._read_back(seat):
            return
        seat.addresses.update(named)
        record = attrs.evolve(seat.record, successors=names)
        # Until the result is known, either record may be the one in force.
        seat.unsettled |= set(names)
        seat.permit.set_successors(seat.unsettled | set(seat.record.successors))
        put = await asyncio.to_thread(self._put_record, record, seat.record_revision)
        if self._seat is not seat:
            return
        if not isinstance(put, Success):
            seat.unsettled_revision = seat.record_revision
            return
        revision = put.unwrap()
        if revision is None and seat.unsettled_revision is None:
            await self._leave(seat, "record replaced")
            return
        if revision is not None:
            self._adopt_record(seat, record, revision)

    async def _read_back(self, seat: _Seat) -> bool:
        """Find out which write of the record took effect."""
        got = await asyncio.to_thread(self._store.get, self._record_key)
        if not isinstance(got, Success) or self._seat is not seat:
            return False
        value = got.unwrap()
        record = None if value is None else parse_record(value.value)
        if record is None or not self._is_own(record, seat.record.epoch):
            await self._leave(seat, "record replaced")
            return False
        # At the expected revision a delayed write may still take effect.
        if value.revision != seat.unsettled_revision:
            self._adopt_record(seat, record, value.revision)
        return True

    def _adopt_record(self, seat: _Seat, record: HolderRecord, revision: int) -> None:
        seat.record = record
        seat.record_revision = revision
        seat.unsettled = set()
        seat.unsettled_revision = None
        seat.must_touch_record = False
        seat.permit.set_successors(record.successors)

    def _is_own(self, record: HolderRecord, epoch: int) -> bool:
        mine = (self._vm, self._incarnation, epoch)
        return (record.holder, record.incarnation, record.epoch) == mine

    def _choose_successors(self, named: Sequence[str]) -> dict[str, str]:
        """Return up to two successors, those named already first."""
        own_name = f"{self._vm}/{self._incarnation}"
        known = {item.name(): item.control_address for item in self._successors()}
        known.pop(own_name, None)
        order = [name for name in named if name in known]
        order += [name for name in known if name not in order]
        return {name: known[name] for name in order[:_NAMED_SUCCESSORS]}

    async def _seek(self) -> None:
        """Take the share when it has no holder and the wait is over."""
        held = await asyncio.to_thread(self._store.get, self._key)
        if not isinstance(held, Success):
            return
        if held.unwrap() is not None:
            self._note_holder(held.unwrap().value)
            await self._delete_key_of_predecessor(held.unwrap())
            return
        # The record is read before the key is seen absent, so a lease that
        # came with this revision of the record has lapsed by then.
        got = await asyncio.to_thread(self._store.get, self._record_key)
        held = await asyncio.to_thread(self._store.get, self._key)
        if not isinstance(got, Success) or not isinstance(held, Success):
            return
        if held.unwrap() is not None:
            self._note_holder(held.unwrap().value)
            return
        self._current_holder = ""
        value = got.unwrap()
        revision = 0 if value is None else value.revision
        now_ms = self._clock.now_ms()
        if self._lapse is None or self._lapse.revision != revision:
            record = None if value is None else parse_record(value.value)
            self._lapse = _Lapse(record=record, revision=revision, seen_ms=now_ms)
        if now_ms < self._takeover_at_ms(self._lapse) or self._is_stopping:
            return
        # No await between the check of the promises and this flag.
        self._is_taking = True
        try:
            await self._take(self._lapse)
        finally:
            self._is_taking = False

    def _note_holder(self, value: str) -> None:
        self._lapse = None
        record = parse_record(value)
        self._current_holder = "" if record is None else record.control_address

    async def _delete_key_of_predecessor(self, held: StoreValue) -> None:
        """Spare the fleet the rest of the lease of an ended process."""
        if self._is_predecessor(parse_record(held.value)):
            await asyncio.to_thread(
                self._store.delete, self._key, expect_revision=held.revision
            )
            self._wake.set()

    def _is_predecessor(self, record: HolderRecord | None) -> bool:
        """Tell whether an earlier process at this address was the holder."""
        if record is None or record.incarnation == self._incarnation:
            return False
        mine = (self._vm, self._control_address)
        return (record.holder, record.control_address) == mine

    def _takeover_at_ms(self, lapse: _Lapse) -> float:
        return takeover_at_ms(
            lapse.record,
            own_name=f"{self._vm}/{self._incarnation}",
            lapse_seen_ms=lapse.seen_ms,
            promised_until_ms=self._given_promises.promised_until_ms(self._domain),
            lease_ms=self._settings.lease_ms,
            outage_limit_ms=self._settings.outage_limit_ms,
            is_predecessor=self._is_predecessor(lapse.record),
        )

    async def _take(self, lapse: _Lapse) -> None:
        sent_ms = self._clock.now_ms()
        lease = await asyncio.to_thread(
            self._store.grant_lease, self._settings.lease_ms
        )
        if not isinstance(lease, Success):
            return
        seat = await self._try_seat(lapse, lease.unwrap(), sent_ms)
        if seat is None:
            await asyncio.to_thread(self._store.revoke_lease, lease.unwrap())
            return
        self._seat = seat
        self._lapse = None
        self._current_holder = self._control_address
        self.takeovers += 1
        log_message(
            message_type="shares:holder_started",
            failure_domain=self._domain,
            epoch=seat.record.epoch,
            successors=list(seat.record.successors),
        )

    async def _try_seat(
        self, lapse: _Lapse, lease_id: str, sent_ms: float
    ) -> _Seat | None:
        named = self._choose_successors(())
        record = HolderRecord(
            holder=self._vm,
            incarnation=self._incarnation,
            control_address=self._control_address,
            successors=tuple(named),
            epoch=1 if lapse.record is None else lapse.record.epoch + 1,
            lease_ms=self._settings.lease_ms,
            outage_limit_ms=self._settings.outage_limit_ms,
        )
        key = await asyncio.to_thread(
            self._put_key, record, lease_id, expect_revision=0
        )
        if not isinstance(key, Success) or key.unwrap() is None:
            return None
        put = await asyncio.to_thread(self._put_record, record, lapse.revision)
        if not isinstance(put, Success) or put.unwrap() is None:
            return None
        permit = Permit(outage_limit_ms=self._settings.outage_limit_ms)
        permit.set_successors(record.successors)
        permit.renew(sent_ms=sent_ms, life_ms=self._settings.lease_ms)
        now_ms = self._clock.now_ms()
        if not permit.is_valid(now_ms) or self._is_stopping:
            return None
        self._seats += 1
        epoch = f"{self._domain}/{self._vm}/{self._incarnation}/{self._seats}"
        return _Seat(
            holder=ShareHolder(
                epoch=epoch, grant_life_ms=self._settings.grant_life_ms, now_ms=now_ms
            ),
            permit=permit,
            lease_id=lease_id,
            key_revision=key.unwrap() or 0,
            record=record,
            record_revision=put.unwrap() or 0,
            renewed_ms=sent_ms,
            addresses=named,
        )

    async def _hand_over(self) -> None:
        """Stop granting, then say so in the store.

        What is lent needs no wait: the next holder counts the whole burst as
        outstanding for one grant life from its start, which is later.
        """
        seat = self._seat
        if seat is None:
            return
        seat.permit.revoke()
        self._seat = None
        record = attrs.evolve(seat.record, released=True)
        put = await asyncio.to_thread(self._put_record, record, seat.record_revision)
        await asyncio.to_thread(
            self._store.delete, self._key, expect_revision=seat.key_revision
        )
        await asyncio.to_thread(self._store.revoke_lease, seat.lease_id)
        log_message(
            message_type="shares:holder_stopped",
            failure_domain=self._domain,
            released=isinstance(put, Success) and put.unwrap() is not None,
        )

    async def _leave(self, seat: _Seat, reason: str) -> None:
        seat.permit.revoke()
        if self._seat is seat:
            self._seat = None
        log_message(
            message_type="shares:holder_lost",
            failure_domain=self._domain,
            reason=reason,
        )
        await asyncio.to_thread(self._store.revoke_lease, seat.lease_id)

    def _put_key(
        self, record: HolderRecord, lease_id: str, *, expect_revision: int
    ) -> Result[int | None, StepError]:
        return self._store.put(
            self._key,
            dump_record(record),
            expect_revision=expect_revision,
            lease_id=lease_id,
        )

    def _put_record(
        self, record: HolderRecord, expect_revision: int
    ) -> Result[int | None, StepError]:
        return self._store.put(
            self._record_key, dump_record(record), expect_revision=expect_revision
        )
