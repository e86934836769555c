"""Hold the share of a failure domain and lend its tokens to entry daemons.

Every relay runs a ``ShareService``; one of each failure domain becomes the
share holder. ``tokens`` is the side of the entry daemons.
"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import attrs
from eliot import log_message, write_traceback
from returns.result import Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.share_interfaces import (
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

_MAX_SUCCESSORS = 2
# Several renewals fit in one lease, so that some may fail.
_RENEWALS_PER_LEASE = 5
_POLLS_PER_LEASE = 10
# Promises are collected when the store has not renewed the lease for this
# fraction of its duration.
_PROMISE_LEASE_FRACTION = 0.3


@attrs.define(kw_only=True)
class _HolderTerm:
    """State of this daemon for one period as the holder."""

    holder: ShareHolder
    permit: Permit
    lease_id: str
    key_revision: int
    record: HolderRecord
    record_revision: int
    renewed_ms: float
    # Control addresses by name, including daemons no longer listed.
    addresses: dict[str, str]
    # Successors named by, and revision expected by, a write of the record
    # whose result is unknown.
    pending_successors: set[str] = attrs.field(factory=set)
    pending_revision: int | None = None
    # Set after the lease was replaced, until the record has a new revision.
    # To other relays an unchanged record proves that the lease stayed lapsed.
    must_rewrite_record: bool = False
    config_version: int | None = None


@attrs.frozen(kw_only=True)
class _LapsedRecord:
    """Record without a lease, and when this revision was first seen so."""

    record: HolderRecord | None
    revision: int
    seen_ms: float


class ShareService:
    """Hold the share of this daemon's failure domain while permitted.

    The key ``shares/holder/DOMAIN`` is bound to the holder's lease. The key
    ``shares/record/DOMAIN`` outlives the lease and determines who may take
    over and when. A takeover first creates the holder key and then replaces
    the record by compare-and-swap.

    ``successors`` lists the relays of the own failure domain. ``send_promise``
    asks the daemon at a control address for a promise. ``get_config`` returns
    the configuration in force, or None before there is one.
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
        get_config: Callable[[], ShareConfig | None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._store = store
        self._vm = vm
        self._incarnation = incarnation
        self._control_address = control_address
        self._successors = successors
        self._send_promise = send_promise
        self._get_config = get_config
        self._domain = settings.failure_domain
        self._holder_key = f"shares/holder/{self._domain}"
        self._record_key = f"shares/record/{self._domain}"
        self._given_promises = GivenPromises()
        self._term: _HolderTerm | None = None
        self._lapsed: _LapsedRecord | None = None
        self._is_taking_over = False
        self._is_candidate = False
        self._is_stopping = False
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._current_holder = ""
        self._term_count = 0
        self.borrow_calls = 0
        self.granted_tokens = 0
        self.takeovers = 0

    async def start(self) -> None:
        """Start the loops that take over or keep the share."""
        self._tasks = [
            asyncio.create_task(self._run_holder_loop()),
            asyncio.create_task(self._run_promise_loop()),
        ]

    async def stop(self) -> None:
        """Stop lending and release the share, within one grant life."""
        self._is_stopping = True
        self._wake.set()
        half_s = self._settings.grant_life_ms / 2000.0
        if self._tasks:
            # A concurrent write of the record would make the release fail.
            await asyncio.wait(self._tasks[:1], timeout=half_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(half_s):
                await self._release_share()

    def set_candidate(self, is_candidate: bool) -> None:
        """Set whether this daemon is a relay and so may hold the share."""
        if is_candidate != self._is_candidate:
            self._is_candidate = is_candidate
            self._wake.set()

    def is_holder(self) -> bool:
        """Return whether this daemon may lend tokens now."""
        term = self._term
        return term is not None and term.permit.is_valid(self._clock.now_ms())

    def holds_shares_of(self) -> str:
        """Return the failure domain whose share this daemon holds, or ""."""
        return self._domain if self.is_holder() else ""

    async def borrow(
        self, request: control_pb2.BorrowRequest
    ) -> control_pb2.BorrowReply:
        """Apply reports and lend tokens while the permit is valid.

        Every reply carries the address of the current holder, if known.
        """
        self.borrow_calls += 1
        now_ms = self._clock.now_ms()
        term = self._term
        reply = control_pb2.BorrowReply(
            is_holder=False,
            holder_incarnation=self._incarnation,
            current_holder=self._current_holder,
        )
        if term is None or not term.permit.is_valid(now_ms):
            return reply
        self._refresh_limits(term, now_ms)
        reply.is_holder = True
        borrower = f"{request.vm}/{request.incarnation}"
        for report in request.reports:
            term.holder.report(
                borrower, report.grant_id, report.spent, report.returned, now_ms
            )
            term.holder.refund(borrower, report.grant_id, report.refunded, now_ms)
        for team_request in request.requests:
            grant = term.holder.grant(
                borrower, team_request.team, team_request.wanted, now_ms
            )
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
        """Promise a holder not to take over its share for a time."""
        if (
            self._is_taking_over
            or self._term is not None
            or request.failure_domain != self._domain
        ):
            return control_pb2.PromiseReply(promised=False)
        self._given_promises.add(
            self._domain, life_ms=request.life_ms, now_ms=self._clock.now_ms()
        )
        return control_pb2.PromiseReply(promised=True)

    def state(self) -> dict[str, object]:
        """Return the role, permit and buckets for the dump."""
        now_ms = self._clock.now_ms()
        term = self._term
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
        if term is not None:
            state["permit_left_ms"] = term.permit.valid_until_ms() - now_ms
            state["successors"] = list(term.record.successors)
            state["epoch"] = term.record.epoch
            state["teams"] = term.holder.state(now_ms)
        return state

    def _refresh_limits(self, term: _HolderTerm, now_ms: float) -> None:
        config = self._get_config()
        if config is None or config.version == term.config_version:
            return
        term.config_version = config.version
        limits_by_team: dict[str, RateLimit] = {}
        for team, rate in config.teams.items():
            limits_by_domain = split_parts(
                rate.rate_per_s, rate.burst_calls, config.failure_domains, team
            )
            if self._domain in limits_by_domain:
                limits_by_team[team] = limits_by_domain[self._domain]
        term.holder.set_limits(limits_by_team, now_ms)

    async def _run_holder_loop(self) -> None:
        lease_ms = self._settings.lease_ms
        while not self._is_stopping:
            delay_ms = lease_ms / _POLLS_PER_LEASE
            try:
                if self._term is not None:
                    await self._renew_term(self._term)
                    delay_ms = lease_ms / _RENEWALS_PER_LEASE
                elif self._is_candidate:
                    await self._try_take_over()
                else:
                    delay_ms = lease_ms
            except Exception:
                # If this loop ended, the share could stay without a holder.
                write_traceback()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_ms / 1000.0):
                    await self._wake.wait()
            self._wake.clear()

    async def _run_promise_loop(self) -> None:
        lease_ms = self._settings.lease_ms
        while not self._is_stopping:
            term = self._term
            now_ms = self._clock.now_ms()
            if (
                term is not None
                and now_ms - term.renewed_ms > lease_ms * _PROMISE_LEASE_FRACTION
            ):
                await self._collect_promises(term)
            await asyncio.sleep(lease_ms / _POLLS_PER_LEASE / 1000.0)

    async def _collect_promises(self, term: _HolderTerm) -> None:
        """Ask all successors, and those of a pending write, for promises."""
        names = set(term.record.successors) | term.pending_successors
        await asyncio.gather(
            *(
                self._request_promise(term, name, term.addresses[name])
                for name in names
                if name in term.addresses
            )
        )

    async def _request_promise(
        self, term: _HolderTerm, name: str, address: str
    ) -> None:
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
            term.permit.add_promise(
                name, sent_ms=sent_ms, life_ms=life_ms, now_ms=self._clock.now_ms()
            )

    async def _renew_term(self, term: _HolderTerm) -> None:
        """Renew the lease and keep the record up to date."""
        if not term.permit.is_valid(self._clock.now_ms()):
            await self._end_term(term, "permit lapsed")
            return
        sent_ms = self._clock.now_ms()
        renewed = await asyncio.to_thread(self._store.renew_lease, term.lease_id)
        if not isinstance(renewed, Success) or self._term is not term:
            return
        if not renewed.unwrap():
            await self._replace_lease(term)
            return
        if not term.must_rewrite_record:
            term.permit.renew(sent_ms=sent_ms, life_ms=self._settings.lease_ms)
            term.renewed_ms = sent_ms
        if not self._is_candidate:
            await self._release_share()
            return
        await self._update_record(term)

    async def _replace_lease(self, term: _HolderTerm) -> None:
        """Create the holder key with a new lease after the old one lapsed."""
        lease = await asyncio.to_thread(
            self._store.grant_lease, self._settings.lease_ms
        )
        if not isinstance(lease, Success):
            return
        lease_id = lease.unwrap()
        term.must_rewrite_record = True
        put = await asyncio.to_thread(
            self._put_key, term.record, lease_id, expect_revision=0
        )
        if not isinstance(put, Success) or put.unwrap() is None:
            await asyncio.to_thread(self._store.revoke_lease, lease_id)
            return
        term.lease_id = lease_id
        term.key_revision = put.unwrap() or 0
        await self._update_record(term)

    async def _update_record(self, term: _HolderTerm) -> None:
        """Write the record if successors changed or a new revision is due."""
        addresses_by_name = self._choose_successors(term.record.successors)
        names = tuple(addresses_by_name)
        is_due = (
            set(names) != set(term.record.successors)
            or term.must_rewrite_record
            or term.pending_revision is not None
        )
        if not is_due:
            return
        if term.pending_revision is not None and not await self._resolve_write(term):
            return
        term.addresses.update(addresses_by_name)
        record = attrs.evolve(term.record, successors=names)
        # Until the result is known, either record may be in effect.
        term.pending_successors |= set(names)
        term.permit.set_successors(
            term.pending_successors | set(term.record.successors)
        )
        put = await asyncio.to_thread(self._put_record, record, term.record_revision)
        if self._term is not term:
            return
        if not isinstance(put, Success):
            term.pending_revision = term.record_revision
            return
        revision = put.unwrap()
        if revision is None and term.pending_revision is None:
            await self._end_term(term, "record replaced")
            return
        if revision is not None:
            self._set_record(term, record, revision)

    async def _resolve_write(self, term: _HolderTerm) -> bool:
        """Read which write of the record took effect; return if known."""
        record_result = await asyncio.to_thread(self._store.get, self._record_key)
        if not isinstance(record_result, Success) or self._term is not term:
            return False
        value = record_result.unwrap()
        record = None if value is None else parse_record(value.value)
        if record is None or not self._is_own_record(record, term.record.epoch):
            await self._end_term(term, "record replaced")
            return False
        # While the revision is unchanged, a delayed write may still succeed.
        if value.revision != term.pending_revision:
            self._set_record(term, record, value.revision)
        return True

    def _set_record(
        self, term: _HolderTerm, record: HolderRecord, revision: int
    ) -> None:
        """Adopt the record that is known to be in effect."""
        term.record = record
        term.record_revision = revision
        term.pending_successors = set()
        term.pending_revision = None
        term.must_rewrite_record = False
        term.permit.set_successors(record.successors)

    def _is_own_record(self, record: HolderRecord, epoch: int) -> bool:
        own_identity = (self._vm, self._incarnation, epoch)
        return (record.holder, record.incarnation, record.epoch) == own_identity

    def _choose_successors(self, named: Sequence[str]) -> dict[str, str]:
        """Return control addresses by name of up to two successors.

        Those already named in the record come first.
        """
        own_name = f"{self._vm}/{self._incarnation}"
        known = {item.name(): item.control_address for item in self._successors()}
        known.pop(own_name, None)
        order = [name for name in named if name in known]
        order += [name for name in known if name not in order]
        return {name: known[name] for name in order[:_MAX_SUCCESSORS]}

    async def _try_take_over(self) -> None:
        """Take over the share if it has no holder and its takeover is due."""
        key_result = await asyncio.to_thread(self._store.get, self._holder_key)
        if not isinstance(key_result, Success):
            return
        if key_result.unwrap() is not None:
            self._update_current_holder(key_result.unwrap().value)
            await self._delete_key_of_predecessor(key_result.unwrap())
            return
        # The record is read before the key is found absent, so the lease that
        # belongs to this revision of the record has lapsed by then.
        record_result = await asyncio.to_thread(self._store.get, self._record_key)
        key_result = await asyncio.to_thread(self._store.get, self._holder_key)
        if not isinstance(record_result, Success) or not isinstance(
            key_result, Success
        ):
            return
        if key_result.unwrap() is not None:
            self._update_current_holder(key_result.unwrap().value)
            return
        self._current_holder = ""
        value = record_result.unwrap()
        revision = 0 if value is None else value.revision
        now_ms = self._clock.now_ms()
        if self._lapsed is None or self._lapsed.revision != revision:
            record = None if value is None else parse_record(value.value)
            self._lapsed = _LapsedRecord(
                record=record, revision=revision, seen_ms=now_ms
            )
        if now_ms < self._takeover_at_ms(self._lapsed) or self._is_stopping:
            return
        # There must be no await between the check of promises and this flag.
        self._is_taking_over = True
        try:
            await self._take_over(self._lapsed)
        finally:
            self._is_taking_over = False

    def _update_current_holder(self, value: str) -> None:
        self._lapsed = None
        record = parse_record(value)
        self._current_holder = "" if record is None else record.control_address

    async def _delete_key_of_predecessor(self, key_value: StoreValue) -> None:
        """Delete the key of an ended process before its lease expires."""
        if self._is_predecessor(parse_record(key_value.value)):
            await asyncio.to_thread(
                self._store.delete, self._holder_key, expect_revision=key_value.revision
            )
            self._wake.set()

    def _is_predecessor(self, record: HolderRecord | None) -> bool:
        """Return whether an earlier process at this address was the holder."""
        if record is None or record.incarnation == self._incarnation:
            return False
        own_identity = (self._vm, self._control_address)
        return (record.holder, record.control_address) == own_identity

    def _takeover_at_ms(self, lapsed: _LapsedRecord) -> float:
        return takeover_at_ms(
            lapsed.record,
            own_name=f"{self._vm}/{self._incarnation}",
            lapse_seen_ms=lapsed.seen_ms,
            promised_until_ms=self._given_promises.promised_until_ms(self._domain),
            lease_ms=self._settings.lease_ms,
            outage_limit_ms=self._settings.outage_limit_ms,
            is_predecessor=self._is_predecessor(lapsed.record),
        )

    async def _take_over(self, lapsed: _LapsedRecord) -> None:
        """Take over the share under a new lease, or revoke that lease."""
        sent_ms = self._clock.now_ms()
        lease = await asyncio.to_thread(
            self._store.grant_lease, self._settings.lease_ms
        )
        if not isinstance(lease, Success):
            return
        term = await self._start_term(lapsed, lease.unwrap(), sent_ms)
        if term is None:
            await asyncio.to_thread(self._store.revoke_lease, lease.unwrap())
            return
        self._term = term
        self._lapsed = None
        self._current_holder = self._control_address
        self.takeovers += 1
        log_message(
            message_type="shares:holder_started",
            failure_domain=self._domain,
            epoch=term.record.epoch,
            successors=list(term.record.successors),
        )

    async def _start_term(
        self, lapsed: _LapsedRecord, lease_id: str, sent_ms: float
    ) -> _HolderTerm | None:
        """Write key and record; return None if a write fails or it is late."""
        addresses_by_name = self._choose_successors(())
        record = HolderRecord(
            holder=self._vm,
            incarnation=self._incarnation,
            control_address=self._control_address,
            successors=tuple(addresses_by_name),
            epoch=1 if lapsed.record is None else lapsed.record.epoch + 1,
            lease_ms=self._settings.lease_ms,
            outage_limit_ms=self._settings.outage_limit_ms,
        )
        key = await asyncio.to_thread(
            self._put_key, record, lease_id, expect_revision=0
        )
        if not isinstance(key, Success) or key.unwrap() is None:
            return None
        put = await asyncio.to_thread(self._put_record, record, lapsed.revision)
        if not isinstance(put, Success) or put.unwrap() is None:
            return None
        permit = Permit(outage_limit_ms=self._settings.outage_limit_ms)
        permit.set_successors(record.successors)
        permit.renew(sent_ms=sent_ms, life_ms=self._settings.lease_ms)
        now_ms = self._clock.now_ms()
        if not permit.is_valid(now_ms) or self._is_stopping:
            return None
        self._term_count += 1
        epoch = f"{self._domain}/{self._vm}/{self._incarnation}/{self._term_count}"
        return _HolderTerm(
            holder=ShareHolder(
                epoch=epoch, grant_life_ms=self._settings.grant_life_ms, now_ms=now_ms
            ),
            permit=permit,
            lease_id=lease_id,
            key_revision=key.unwrap() or 0,
            record=record,
            record_revision=put.unwrap() or 0,
            renewed_ms=sent_ms,
            addresses=addresses_by_name,
        )

    async def _release_share(self) -> None:
        """Stop lending, then mark the share as released in the store.

        Tokens still lent need no wait: the next holder, which starts later,
        treats the whole burst as outstanding for one grant life.
        """
        term = self._term
        if term is None:
            return
        term.permit.revoke()
        self._term = None
        record = attrs.evolve(term.record, released=True)
        put = await asyncio.to_thread(self._put_record, record, term.record_revision)
        await asyncio.to_thread(
            self._store.delete, self._holder_key, expect_revision=term.key_revision
        )
        await asyncio.to_thread(self._store.revoke_lease, term.lease_id)
        log_message(
            message_type="shares:holder_stopped",
            failure_domain=self._domain,
            released=isinstance(put, Success) and put.unwrap() is not None,
        )

    async def _end_term(self, term: _HolderTerm, reason: str) -> None:
        """Stop lending after the share was lost."""
        term.permit.revoke()
        if self._term is term:
            self._term = None
        log_message(
            message_type="shares:holder_lost",
            failure_domain=self._domain,
            reason=reason,
        )
        await asyncio.to_thread(self._store.revoke_lease, term.lease_id)

    def _put_key(
        self, record: HolderRecord, lease_id: str, *, expect_revision: int
    ) -> Result[int | None, StepError]:
        return self._store.put(
            self._holder_key,
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
