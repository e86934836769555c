"""Application object of the daemon, which owns all parts.

It starts and stops them in order, drains before a stop, and connects the
control plane, the share service and the request path with each other.
"""

import asyncio
import gc
import pathlib
import random
import signal
from collections.abc import Sequence

from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.config.document import ConfigDocument
from eelgrassweir.daemon.address import split_address
from eelgrassweir.daemon.admin import AdminServer
from eelgrassweir.daemon.admin_bridge import make_sources
from eelgrassweir.daemon.backend import Announcement
from eelgrassweir.daemon.control import ControlPlane
from eelgrassweir.daemon.control_client import (
    ChannelFactory,
    make_tls_factory,
    open_channel,
)
from eelgrassweir.daemon.drain import DrainState
from eelgrassweir.daemon.identity import FLEET_CERTIFICATE_NAME, make_identity
from eelgrassweir.daemon.logs import open_log
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.request_path import RequestPath, RequestPathDependencies
from eelgrassweir.daemon.share_interfaces import Successor
from eelgrassweir.daemon.share_service import ShareService
from eelgrassweir.daemon.tls import FleetTls
from eelgrassweir.daemon.tokens import TokenService
from eelgrassweir.daemon.usage import UsageMeter
from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2
from eelgrassweir.settings.generated import Settings
from eelgrassweir.store.client import StoreClient

TICK_MS = 100
TLS_RELOAD_TICKS = 20
DRAIN_POLL_MS = 20
# Callers normally read the answer that closes their connection well within
# this time; a silent caller does not delay the stop any longer.
CLOSE_TIMEOUT_MS = 1_500
# While only the backend server drains, its local daemon still serves callers.
BACKEND_DRAIN_REASON = "backend server drains"


class Application:
    """Start, run and stop the parts of one daemon."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        seed = settings.seed or random.SystemRandom().getrandbits(63)
        self.seed = seed
        rng = random.Random(seed)
        self.identity = make_identity(settings.vm, self.clock)
        self.metrics = Metrics()
        self.drain = DrainState(self.clock, notice_ms=settings.drain_notice_ms)
        self.usage = UsageMeter(self.clock)
        self.store = StoreClient(
            settings.store_urls,
            timeout_ms=settings.store_timeout_ms,
            ca_path=settings.store_ca_path,
        )
        self.tls = FleetTls(settings)
        self.control = ControlPlane(
            settings,
            clock=self.clock,
            store=self.store,
            rng=rng,
            incarnation=self.identity.incarnation,
            started_ms=self.identity.started_wall_ms,
            on_config=self._apply_config,
            on_relays_changed=self._update_share_candidate,
            borrow=lambda request: self.shares.borrow(request),
            promise=lambda request: self.shares.promise(request),
            registry=self.metrics.registry,
            connect=self._channel_factory(),
            credentials=self.tls.server_credentials(),
        )
        self.shares = ShareService(
            clock=self.clock,
            settings=settings,
            store=self.store,
            vm=settings.vm,
            incarnation=self.identity.incarnation,
            control_address=(
                settings.advertised_control_address or settings.control_address
            ),
            successors=self._successors,
            send_promise=self.control.promise,
            get_config=lambda: self.control.config,
        )
        self.tokens = TokenService(
            clock=self.clock,
            vm=settings.vm,
            incarnation=self.identity.incarnation,
            borrow=self.control.borrow,
            holders=self.control.share_holders,
            wait_ms=settings.token_wait_ms,
        )
        self.requests = RequestPath(
            settings=settings,
            identity=self.identity,
            clock=self.clock,
            rng=rng,
            metrics=self.metrics,
            drain=self.drain,
            tls=self.tls,
            dependencies=RequestPathDependencies(
                get_config=lambda: self.control.config,
                is_fresh=self.control.is_fresh,
                members=self.control.members,
                tokens=self.tokens,
                announce=self._handle_announcement,
                usage=self.usage,
            ),
        )
        self.admin: AdminServer | None = None
        self._stop_requested = asyncio.Event()
        self._tick_task: asyncio.Task[None] | None = None

    # Life cycle

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and stop."""
        open_log(self.settings.log_path)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        await self.start()
        try:
            await self._stop_requested.wait()
            await self.drain_requests()
        finally:
            await self.stop()

    def _log_reload(self) -> None:
        log_message(message_type="daemon:reload", vm=self.settings.vm)

    async def start(self) -> None:
        """Start all parts; the request listeners open last."""
        settings = self.settings
        log_message(
            message_type="daemon:start",
            vm=settings.vm,
            incarnation=self.identity.incarnation,
            seed=self.seed,
        )
        await self.control.start()
        await self.shares.start()
        await self.tokens.start()
        self.admin = AdminServer(
            split_address(settings.admin_address),
            make_sources(self, asyncio.get_running_loop()),
            clock=self.clock,
            isolation_limit_ms=settings.isolation_limit_ms,
            token=read_token(settings.admin_token_path),
            registry=self.metrics.registry,
        )
        self.admin.start()
        await self.requests.start()
        self._tick_task = asyncio.create_task(self._run_ticks())
        freeze_startup_objects()

    async def drain_requests(self) -> None:
        """Drain: wait until work in flight and its answers are done.

        The wait for work ends at ``drain_limit_ms``, that for callers to close
        their connections at ``CLOSE_TIMEOUT_MS``.
        """
        self._begin_drain("stop")
        started_ms = self.clock.now_ms()
        await asyncio.sleep(self.settings.drain_notice_ms / 1e3)
        self.requests.refuse_callers()
        while self.requests.in_flight_calls():
            if self.clock.now_ms() - started_ms > self.settings.drain_limit_ms:
                break
            await asyncio.sleep(DRAIN_POLL_MS / 1e3)
        await self.requests.close_callers(CLOSE_TIMEOUT_MS)
        log_message(
            message_type="daemon:drained",
            vm=self.settings.vm,
            in_flight_calls=self.requests.in_flight_calls(),
        )

    async def stop(self) -> None:
        """Stop all parts, in reverse order of their start."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        await self.requests.stop()
        if self.admin is not None:
            await asyncio.to_thread(self.admin.stop)
        await self.tokens.stop()
        await self.shares.stop()
        await self.control.stop()
        log_message(message_type="daemon:stop", vm=self.settings.vm)

    def _channel_factory(self) -> ChannelFactory:
        """Return the factory of channels to other daemons."""
        if self.settings.fleet_cert_path:
            return make_tls_factory(
                self.tls.channel_credentials, FLEET_CERTIFICATE_NAME
            )
        return open_channel

    # State

    def state(self) -> dict[str, object]:
        """Return the state that decisions depend on, for the dump."""
        return {
            "vm": self.settings.vm,
            "failure_domain": self.settings.failure_domain,
            "incarnation": self.identity.incarnation,
            "uptime_ms": int(self.clock.now_ms() - self.identity.started_ms),
            "seed": self.seed,
            "requests": self.requests.state(),
            "control": self.control.state(),
            "tokens": self.tokens.state(),
            "shares": self.shares.state(),
            "usage_per_s": self.usage.rates(),
        }

    # Callbacks and events

    def _apply_config(self, document: ConfigDocument) -> None:
        self.metrics.config_version.set(document.version)
        self._apply_planned_stop(document)

    def _update_share_candidate(self, is_relay: bool) -> None:
        self.shares.set_candidate(is_relay)

    def _successors(self) -> Sequence[Successor]:
        """Return the other relays of the local failure domain."""
        relays = []
        for relay in self.control.other_relays():
            member = self.control.members.get(relay.vm)
            if member is None or relay.failure_domain != self.settings.failure_domain:
                continue
            relays.append(
                Successor(
                    vm=relay.vm,
                    incarnation=member.incarnation,
                    control_address=relay.control_address,
                )
            )
        return relays

    def _handle_announcement(self, announcement: Announcement) -> None:
        self.requests.backend.announce(announcement)
        self.requests.gate.set_slots(announcement.slots)
        if announcement.is_draining:
            self._begin_drain(BACKEND_DRAIN_REASON)
        else:
            self._cancel_drain(BACKEND_DRAIN_REASON)
        self._announce_backend()

    def _begin_drain(self, reason: str) -> None:
        if self.drain.begin(reason):
            log_message(message_type="daemon:drain", vm=self.settings.vm, reason=reason)
            self._announce_backend()
        self._notify_callers()

    def _cancel_drain(self, reason: str) -> None:
        if self.drain.cancel(reason):
            log_message(message_type="daemon:ready", vm=self.settings.vm)
            self._announce_backend()
        self._notify_callers()

    def _notify_callers(self) -> None:
        reasons = set(self.drain.reasons) - {BACKEND_DRAIN_REASON}
        self.requests.set_closing(bool(reasons))

    def _announce_backend(self) -> None:
        """Announce the local backend server and the state to the fleet."""
        backend = self.requests.backend
        state = control_pb2.DRAINING if self.drain.is_draining else control_pb2.READY
        service, slots = "", 0
        if backend.announcement is not None and backend.is_present():
            service, slots = backend.announcement.service, backend.announcement.slots
        self.control.announce_backend(service=service, slots=slots, state=state)

    def _apply_planned_stop(self, document: ConfigDocument) -> None:
        stop = document.stops.get(self.settings.vm)
        # A stop that began before this process was meant for the VM that this
        # one replaces.
        if stop is not None and stop.start_wall_ms < self.identity.started_wall_ms:
            stop = None
        if stop is not None and self.clock.wall_ms() >= stop.start_wall_ms:
            self._begin_drain("planned stop")
        elif stop is None:
            self._cancel_drain("planned stop")

    def _reload_tls(self) -> None:
        """Reload changed certificates; keep the old ones on an error."""
        try:
            renewed = self.tls.reload()
        except StepError as error:
            log_message(message_type="daemon:tls_reload_failed", reason=str(error))
            return
        if renewed:
            log_message(message_type="daemon:tls_reloaded", contexts=renewed)

    async def _run_ticks(self) -> None:
        """Update periodically what changes with time."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_MS / 1e3)
            ticks += 1
            if ticks % TLS_RELOAD_TICKS == 0:
                self._reload_tls()
            self._announce_backend()
            is_share_holder = self.shares.is_holder()
            domain = self.settings.failure_domain if is_share_holder else ""
            self.control.set_held_domain(domain)
            if self.control.config is not None:
                self._apply_planned_stop(self.control.config)
            age_ms = self.control.freshness_age_ms()
            self.metrics.config_age.set(-1 if age_ms is None else age_ms / 1e3)


def read_token(path: str) -> str:
    """Return the token in the file at ``path``; empty without a path.

    :raises OSError: if the file cannot be read
    """
    return pathlib.Path(path).read_text().strip() if path else ""


def freeze_startup_objects() -> None:
    """Exempt all objects made at startup from later garbage collections.

    Modules and schemas live as long as the process; a full collection that
    traverses them blocks the event loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
