"""Assembly of the request path: listeners, links and services.

Used by ``eelgrassweir.daemon.app``.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from eelgrassweir.admission.backpressure import BackpressureTable
from eelgrassweir.admission.limit import ConcurrencyLimit, NoLimit
from eelgrassweir.clock import Clock
from eelgrassweir.config.document import ConfigDocument
from eelgrassweir.daemon.address import split_address
from eelgrassweir.daemon.backend import Announcement, LocalBackend
from eelgrassweir.daemon.connection_limit import ConnectionLimit
from eelgrassweir.daemon.dispatch import Dispatcher
from eelgrassweir.daemon.drain import DrainState
from eelgrassweir.daemon.egress import EgressService
from eelgrassweir.daemon.entry import EntryService
from eelgrassweir.daemon.gate import Gate
from eelgrassweir.daemon.held_bytes import HeldBytes, compute_limit_bytes
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer, make_refusal_response
from eelgrassweir.daemon.identity import Identity
from eelgrassweir.daemon.link_client import LinkOptions
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.parse_turns import ParseTurns
from eelgrassweir.daemon.start_queue import StartQueue
from eelgrassweir.daemon.target import TargetService
from eelgrassweir.daemon.tls import FleetTls
from eelgrassweir.daemon.tokens import TokenService
from eelgrassweir.daemon.usage import UsageMeter
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.context import ContextTable
from eelgrassweir.requests.record import RecordTable
from eelgrassweir.requests.refusal import Refusal, clear_not_run_if_ticketed
from eelgrassweir.retries.budget import RetryRatio
from eelgrassweir.routing.picker import TargetPicker
from eelgrassweir.settings.generated import Settings

CLOSE_POLL_INTERVAL_MS = 20
# Bounds of the connections of the local backend server.
EGRESS_CONNECTIONS_PERCENT = 15
MAX_EGRESS_CONNECTIONS = 1_024


@attrs.frozen(kw_only=True)
class RequestPathDependencies:
    """Dependencies of the request path on the rest of the daemon."""

    get_config: Callable[[], ConfigDocument | None]
    is_fresh: Callable[[], bool]
    members: MemberTable
    tokens: TokenService
    announce: Callable[[Announcement], None]
    usage: UsageMeter


class RequestPath:
    """Own the listeners, links and services that carry requests."""

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        drain: DrainState,
        tls: FleetTls,
        dependencies: RequestPathDependencies,
    ) -> None:
        self._settings = settings
        self._drain = drain
        self._clock = clock
        self._vm = identity.vm
        self._is_refusing_callers = False
        self._tls = tls
        self.start_queue = StartQueue(clock)
        self.parse_turns = ParseTurns()
        self.held = HeldBytes(compute_limit_bytes(settings.memory_mb))
        # Identifiers must differ between daemons and runs with the same seed.
        system_rng = random.SystemRandom()
        options = LinkOptions(
            vm=identity.vm,
            incarnation=identity.incarnation,
            ping_ms=settings.link_ping_ms,
            silence_ms=settings.link_silence_ms,
            body_limit_bytes=settings.max_body_bytes,
            tls=tls.link_client.context if tls.link_client else None,
            held=self.held,
            start_queue=self.start_queue,
        )
        self.backend = LocalBackend(
            clock=clock,
            ttl_ms=settings.announce_ttl_ms,
            body_limit_bytes=settings.max_body_bytes,
            held=self.held,
            parse_turns=self.parse_turns,
        )
        disabled = settings.disabled_mechanisms
        limit = NoLimit() if "limit" in disabled else ConcurrencyLimit()
        self.gate = Gate(
            clock, identity.vm, settings.queue_limit_calls, rng, limit=limit
        )
        self.contexts = ContextTable()
        self.records = RecordTable(
            started_ms=identity.started_ms,
            started_wall_ms=identity.started_wall_ms,
            ticket_life_ms=settings.ticket_life_ms,
            answer_limit_bytes=settings.record_body_bytes,
            total_limit_bytes=settings.record_total_bytes,
        )
        self.target = TargetService(
            vm=identity.vm,
            incarnation=identity.incarnation,
            clock=clock,
            rng=system_rng,
            backend=self.backend,
            gate=self.gate,
            records=self.records,
            contexts=self.contexts,
            drain=drain,
            metrics=metrics,
            retry_ratio=make_retry_ratio(settings),
        )
        self.links = LinkPool(options, clock)
        # Backpressure reports that expire immediately have no effect.
        pressure_ttl_ms = 0 if "pressure" in disabled else settings.pressure_ttl_ms
        backpressure = BackpressureTable(ttl_ms=pressure_ttl_ms)
        dispatcher = Dispatcher(
            vm=identity.vm,
            incarnation=identity.incarnation,
            failure_domain=settings.failure_domain,
            clock=clock,
            rng=system_rng,
            members=dependencies.members,
            picker=TargetPicker(rng),
            backpressure=backpressure,
            retry_ratio=make_retry_ratio(settings),
            links=self.links,
            target=self.target,
            metrics=metrics,
            ticket_life_ms=settings.ticket_life_ms,
            is_draining=lambda: drain.is_draining,
        )
        self.target.set_delegate(dispatcher.delegate)
        self.entry = EntryService(
            vm=identity.vm,
            clock=clock,
            rng=system_rng,
            get_config=dependencies.get_config,
            is_fresh=dependencies.is_fresh,
            tokens=dependencies.tokens,
            backpressure=backpressure,
            dispatcher=dispatcher,
            metrics=metrics,
            usage=dependencies.usage,
            retry_budget_attempts=get_retry_budget(settings),
        )
        self.egress = EgressService(
            vm=identity.vm,
            clock=clock,
            rng=system_rng,
            get_config=dependencies.get_config,
            contexts=self.contexts,
            dispatcher=dispatcher,
            metrics=metrics,
            announce=dependencies.announce,
        )
        body_limit_bytes = settings.max_body_bytes
        self.ingress_server = HttpServer(
            self._handle_caller,
            body_limit_bytes=body_limit_bytes,
            idle_timeout_s=settings.caller_idle_ms / 1e3,
            held=self.held,
            start_queue=self.start_queue,
            parse_turns=self.parse_turns,
            get_priority=lambda _: link_pb2.NORMAL,
        )
        self.egress_server = HttpServer(
            self.egress.handle,
            body_limit_bytes=body_limit_bytes,
            held=self.held,
            start_queue=self.start_queue,
            parse_turns=self.parse_turns,
            # Their root requests are in progress.
            get_priority=lambda _: link_pb2.CRITICAL,
            connection_limit=ConnectionLimit(
                percent=EGRESS_CONNECTIONS_PERCENT,
                max_connections=MAX_EGRESS_CONNECTIONS,
            ),
        )
        self.link_server = LinkServer(options, self.target.handle_link_request, clock)

    async def start(self) -> None:
        """Open the listeners."""
        settings = self._settings
        await self.egress_server.start(*split_address(settings.egress_address))
        link_tls = self._tls.link_server
        await self.link_server.start(
            *split_address(settings.link_address),
            link_tls.context if link_tls else None,
        )
        ingress_tls = self._tls.ingress
        await self.ingress_server.start(
            *split_address(settings.ingress_address),
            ingress_tls.context if ingress_tls else None,
        )

    def set_closing(self, is_closing: bool) -> None:
        """Set whether callers' connections close after the next answer."""
        self.ingress_server.set_closing(is_closing)

    def refuse_callers(self) -> None:
        """Refuse new requests of callers; pending answers are still sent."""
        self._is_refusing_callers = True
        self.ingress_server.set_closing(True)

    async def close_callers(self, timeout_ms: float) -> None:
        """Close callers' connections as they become idle, then the listener.

        The listener closes last, since connections that wait to be accepted
        at that moment are reset.
        """
        self.ingress_server.close_idle()
        end_ms = self._clock.now_ms() + timeout_ms
        while self.ingress_server.connection_count:
            if self._clock.now_ms() > end_ms:
                break
            await asyncio.sleep(CLOSE_POLL_INTERVAL_MS / 1e3)
            self.ingress_server.close_idle()
        self.ingress_server.stop_listening()

    async def _handle_caller(self, request: HttpRequest) -> HttpResponse:
        if not self._is_refusing_callers:
            return await self.entry.handle(request)
        refusal = Refusal(
            code="draining",
            not_run=True,
            reason="this VM is leaving; send the request to another",
            step="entry",
            peer=self._vm,
        )
        return make_refusal_response(
            clear_not_run_if_ticketed(refusal, request.headers)
        )

    async def stop(self) -> None:
        """Close listeners, links and connections."""
        await self.ingress_server.stop()
        await self.link_server.stop()
        await self.egress_server.stop()
        self.links.close()
        self.backend.close()

    def in_flight_calls(self) -> int:
        """Return the number of requests that the daemon still processes."""
        running = max(len(self.contexts), self.target.run_count)
        # Calls in the gate's queue have no context yet, and an answer is in
        # flight until the kernel has accepted all its bytes.
        return (
            self.entry.in_flight_calls
            + running
            + self.link_server.busy_count
            + self.egress_server.busy_count
            + self.ingress_server.busy_count
        )

    def state(self) -> dict[str, object]:
        """Return the state for the dump."""
        announcement = self.backend.announcement
        return {
            "backend": attrs.asdict(announcement) if announcement else None,
            "backend_is_present": self.backend.is_present(),
            "gate": self.gate.state(),
            "records": self.records.counts(),
            "contexts": len(self.contexts),
            "runs": self.target.run_count,
            "entry_in_flight_calls": self.entry.in_flight_calls,
            "caller_connections": self.ingress_server.connection_count,
            "links": self.links.state(),
            "draining": self._drain.reasons,
            "refuses_new_work": self._drain.refuses_new_work(),
        }


# Effectively unlimited, for baseline measurements without a retry budget.
# Halved at each of 8 levels of child calls it still leaves several attempts.
UNLIMITED_ATTEMPTS = 100_000


def get_retry_budget(settings: Settings) -> int:
    """Return the retry budget of one root request, in attempts."""
    if "retry_budget" in settings.disabled_mechanisms:
        return UNLIMITED_ATTEMPTS
    return settings.retry_budget_attempts


def make_retry_ratio(settings: Settings) -> RetryRatio:
    """Return the limit on the ratio of retries to each service."""
    if "retry_budget" in settings.disabled_mechanisms:
        return RetryRatio(spare_retries=UNLIMITED_ATTEMPTS)
    return RetryRatio(percent=settings.ratio_retry_percent)
