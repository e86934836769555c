"""Application object of the daemon on the platform: wiring and life cycle."""

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable
from typing import Any

from eliot import log_message

from eelgrassweir.admission.failures import FailureRate
from eelgrassweir.admission.throttle import OverloadThrottle
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.coalescing import WakeupCoalescer
from eelgrassweir.daemon.connection_limit import ConnectionLimit
from eelgrassweir.daemon.held_bytes import DEFAULT_MEMORY_MB, HeldBytes
from eelgrassweir.daemon.http_client import BackendClient, ClientOptions
from eelgrassweir.daemon.http_message import Body, HttpRequest
from eelgrassweir.daemon.http_server import Handler, HttpServer, UnansweredHandler
from eelgrassweir.daemon.identity import make_identity
from eelgrassweir.daemon.link_client import LinkOptions, Reply
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.parse_turns import ParseTurns
from eelgrassweir.daemon.start_queue import StartQueue
from eelgrassweir.daemon.supervision import TaskSupervisor
from eelgrassweir.mesh.adapter import PlatformAdapter, Store
from eelgrassweir.mesh.admin import AdminService
from eelgrassweir.mesh.backend import BackendTracker
from eelgrassweir.mesh.call_trees import CallTrees
from eelgrassweir.mesh.cold_target import ColdTarget
from eelgrassweir.mesh.config_state import ConfigState
from eelgrassweir.mesh.control import ControlService
from eelgrassweir.mesh.directory import MemberDirectory
from eelgrassweir.mesh.discovery import discover_backend
from eelgrassweir.mesh.dispatch import Dispatcher
from eelgrassweir.mesh.entry import CHILD_PRIORITY, EntryService
from eelgrassweir.mesh.evacuations import Evacuations
from eelgrassweir.mesh.feed import StoreFeed
from eelgrassweir.mesh.follow_service import FollowService
from eelgrassweir.mesh.lease_renewal import LeaseRenewer
from eelgrassweir.mesh.leave_replication import LeaveReplication
from eelgrassweir.mesh.lending import (
    QuotaTolerance,
    TokenLending,
    compute_decrease_delay_ms,
)
from eelgrassweir.mesh.link_messages import decode_request, encode_result
from eelgrassweir.mesh.listeners import open_listener
from eelgrassweir.mesh.local_entry import LocalEntry
from eelgrassweir.mesh.log_output import LogOutput
from eelgrassweir.mesh.member_entry import member_key
from eelgrassweir.mesh.memory_watch import MemoryWatch, read_peak_bytes
from eelgrassweir.mesh.planned_stop import finish_requests
from eelgrassweir.mesh.registration import Registration
from eelgrassweir.mesh.signals import handle_signals, ignore_signals
from eelgrassweir.mesh.source_selector import SourceSelector
from eelgrassweir.mesh.target import TargetService
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.retries.budget import RetryRatio
from eelgrassweir.routing.domain_spill import DomainSpill
from eelgrassweir.routing.picker import TargetPicker
from eelgrassweir.routing.placement import SpeedAwarePlacement
from eelgrassweir.routing.rules import RoutingConfig
from eelgrassweir.settings.mesh_generated import MeshSettings
from eelgrassweir.store.items import Change, Item, Removal, Snapshot

TICK_INTERVAL_MS = 100
# Lateness of a tick from which it is logged.
MIN_LOGGED_LAG_MS = 100.0
LAG_MESSAGE_TYPE = "loop:late"
CANCEL_SENT_MESSAGE_TYPE = "link:cancel_sent"
CANCEL_RECEIVED_MESSAGE_TYPE = "link:cancel_received"
# Bounds of the connections of the platform and of operators, by listener.
LOCAL_CONNECTIONS_PERCENT = 5
MAX_LOCAL_CONNECTIONS = 256
# Body limit of callers until a configuration sets one, and of answers.
BODY_LIMIT_BYTES = 67_108_864
# Body limit of the platform and of operators. A heartbeat has some hundred
# bytes.
LOCAL_BODY_LIMIT_BYTES = 65_536
LINK_CONNECT_TIMEOUT_MS = 300
BACKEND_CONNECT_TIMEOUT_MS = 300
# The backend server runs on this VM, which acknowledges TCP segments within
# microseconds.
BACKEND_TCP_USER_TIMEOUT_MS = 1_000
QUEUE_LIMIT_CALLS = 400
# Traffic between failure domains is expensive, and the slots are exact, so
# requests leave their domain only if its targets are much fuller than others.
OWN_DOMAIN_MARGIN = 0.6
# A watch can miss changes for about a second before the store reports that its
# history is lost. The rest covers timers and the transit of the request.
REVOKE_MARGIN_MS = 1_300
# Longest watch of the store, as a share of the time in which a configuration
# must be in force.
WATCH_APPLY_SHARE = 0.4
# Shorter watches would take up the processor.
MIN_WATCH_MS = 40
# Shares of the allowed retry ratio and slack that are used. A retried request
# repeats the calls made below it too, so less than the whole is used.
RETRY_RATIO_SHARE = 0.35
RETRY_SLACK_SHARE = 0.4


class Application:
    """Create the components of a daemon; start, drain and stop them."""

    def __init__(
        self,
        settings: MeshSettings,
        adapter: PlatformAdapter,
        store: Store,
        log_output: LogOutput | None = None,
        held: HeldBytes | None = None,
        memory_mb: float = DEFAULT_MEMORY_MB,
    ) -> None:
        self.settings = settings
        self.memory_watch = MemoryWatch(memory_mb * 1e6)
        self._log_output = log_output
        self._can_log = log_output.can_log if log_output else _can_always_log
        self._adapter = adapter
        self.clock = Clock()
        self.seed = settings.seed or random.SystemRandom().getrandbits(62)
        rng = random.Random(self.seed)
        self.coalescer = WakeupCoalescer(self.clock)
        self.identity = make_identity(settings.vm, self.clock)
        self.metrics = Metrics()
        self.held = held or HeldBytes()
        self.store = store
        self.config = ConfigState(adapter.decode_config, self._apply_config)
        self.directory = MemberDirectory(self.clock, settings.failure_domains)
        self.start_queue = StartQueue(self.clock)
        self.parse_turns = ParseTurns()
        link_options = LinkOptions(
            vm=settings.vm,
            incarnation=self.identity.incarnation,
            ping_ms=settings.link_ping_ms,
            silence_ms=settings.link_silence_ms,
            body_limit_bytes=BODY_LIMIT_BYTES,
            connect_timeout_ms=LINK_CONNECT_TIMEOUT_MS,
            on_read=self.coalescer.record_read,
            on_cancel_sent=self._log_cancel_sent,
            on_cancel_received=self._log_cancel_received,
            waits_for_runs=True,
            held=self.held,
            start_queue=self.start_queue,
        )
        self.links = LinkPool(link_options, self.clock)
        self.sources = SourceSelector(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            members=self.directory.members,
            clock=self.clock,
        )
        self.feed = StoreFeed(
            store,
            clock=self.clock,
            rng=rng,
            watch_ms=compute_watch_ms(settings),
            config_key=adapter.config_key,
            links=self.links,
            sources=self.sources,
            on_snapshot=self._apply_snapshot,
            on_change=self._apply_change,
            is_store_behind=lambda: self.config.is_store_behind,
        )
        self.followers = FollowService(
            clock=self.clock,
            replica=self.feed.replica,
            freshness=self.feed.freshness,
        )
        self.lease_renewer = LeaseRenewer(store, self.links, self.sources)
        self._local_member_key = member_key(settings.vm)
        self.registration = Registration(
            store,
            clock=self.clock,
            key=self._local_member_key,
            lease_ms=settings.lease_ms,
            get_revision=self._get_local_revision,
            renew_lease=self.lease_renewer.renew,
        )
        self.backend = BackendTracker(
            clock=self.clock, drain_ms=settings.drain_ms, connect=self._connect_backend
        )
        self.cold = ColdTarget(
            clock=self.clock,
            backend=self.backend,
            get_per_s=self._get_cold_rate_per_s,
            overage=settings.cold_overage,
            slack_calls=settings.cold_slack_calls,
        )
        self.evacuations = Evacuations(
            clock=self.clock,
            prefix=adapter.evacuation_prefix,
            grace_ms=settings.evacuation_ms,
            on_end=self._end_evacuation,
        )
        self.leave_replication = LeaveReplication(
            vm=settings.vm, members=self.directory.members, links=self.links
        )
        self.local_entry = LocalEntry(
            settings=settings,
            incarnation=self.identity.incarnation,
            backend=self.backend,
            members=self.directory.members,
            registration=self.registration,
            replication=self.leave_replication,
            has_eras=lambda: self.feed.replica.era > 0,
        )
        self.directory.members.subscribe(self._hold_leave)
        can_log = self._can_log
        # Calls of the local backend server that are refused.
        refused_calls = FailureRate()
        failed_calls = FailureRate()
        self.throttle = OverloadThrottle(rng)
        self.trees = (
            CallTrees(self.clock, rng, self._get_backend_service)
            if settings.call_tree_admission
            else None
        )
        self.target = TargetService(
            vm=settings.vm,
            clock=self.clock,
            rng=rng,
            backend=self.backend,
            adapter=adapter,
            queue_limit_calls=QUEUE_LIMIT_CALLS,
            failed_calls=failed_calls,
            refused_calls=refused_calls,
            can_log=can_log,
            trees=self.trees,
            reports_speed=settings.speed_aware_placement,
            cold=self.cold,
            is_evacuated=self._is_evacuated,
        )
        self.lending = TokenLending(
            vm=settings.vm,
            incarnation=self.identity.incarnation,
            failure_domain=settings.failure_domain,
            failure_domains=settings.failure_domains,
            tolerance=QuotaTolerance(
                window_s=settings.quota_window_s,
                overage=settings.quota_overage,
                slack_calls=settings.quota_slack_calls,
            ),
            clock=self.clock,
            members=self.directory.members,
            links=self.links,
            decrease_delay_ms=compute_decrease_delay_ms(
                apply_ms=settings.config_apply_ms, window_s=settings.quota_window_s
            ),
        )
        self.link_server = LinkServer(
            link_options,
            self._handle_link_request,
            self.clock,
            borrow_handler=self.lending.lend_serialized,
            follow_handler=self.followers.serve,
            renewal_handler=self.lease_renewer.serve,
            leaves_handler=self.leave_replication.serve,
            load_handler=self._load,
        )
        self.placement = (
            SpeedAwarePlacement(rng) if settings.speed_aware_placement else None
        )
        self.retry_ratio = RetryRatio(
            percent=100 * settings.budget_ratio * RETRY_RATIO_SHARE,
            spare_retries=1,
            rounding=rng.random(),
        )
        self.spill = DomainSpill(rng) if settings.domain_spill else None
        self.dispatcher = Dispatcher(
            vm=settings.vm,
            incarnation=self.identity.incarnation,
            failure_domain=settings.failure_domain,
            clock=self.clock,
            members=self.directory.members,
            picker=TargetPicker(
                rng,
                own_domain_margin=OWN_DOMAIN_MARGIN,
                choose_domain=self.spill.choose_domain if self.spill else None,
                placement=self.placement,
            ),
            retry_ratio=self.retry_ratio,
            links=self.links,
            target=self.target,
            on_retry=lambda service: self.metrics.retries.labels(service).inc(),
            on_placed=self._count_placed,
            spill=self.spill,
            trees=self.trees,
            evacuations=self.evacuations,
        )
        self.entry = EntryService(
            vm=settings.vm,
            service=settings.service,
            clock=self.clock,
            rng=rng,
            adapter=adapter,
            get_config=lambda: self.config.current,
            freshness=self.feed.freshness,
            max_staleness_ms=settings.revoke_ms - REVOKE_MARGIN_MS,
            lending=self.lending,
            dispatcher=self.dispatcher,
            throttle=self.throttle,
            failed_calls=failed_calls,
            refused_calls=refused_calls,
            metrics=self.metrics,
            can_log=can_log,
            trees=self.trees,
        )
        self.control = ControlService(
            adapter=adapter,
            backend=self.backend,
            on_backend_change=self._update_from_backend,
            keep_leave=self.local_entry.keep_leave,
            is_ready=self.is_ready,
            is_named_service=self.is_named_service,
        )
        self.caller_server = self._make_server(
            self.entry.handle, self.entry.record_unanswered, self._get_priority
        )
        self.control_server = self._make_local_server(self.control.handle)
        self.ready_server = self._make_local_server(self.control.handle)
        self.admin_server = self._make_local_server(
            AdminService(self.metrics.registry, self.state).handle
        )
        self._has_probed_backend = False
        self._has_asked_replicas = False
        # Era of the store in the last snapshot, None before the first.
        self._era: int | None = None
        self._stop_requested = asyncio.Event()
        self.tasks = TaskSupervisor(self.metrics.task_failures)

    # Lifecycle

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        asyncio.get_running_loop().set_exception_handler(log_loop_error)
        handle_signals(self.request_stop, self._log_reload)
        await self._run_until_stop()
        if self._may_have_requests():
            await self.drain()
        await self.stop()
        ignore_signals()

    def request_stop(self) -> None:
        """Let ``run`` stop the daemon gracefully."""
        self._stop_requested.set()

    def _may_have_requests(self) -> bool:
        """Return whether callers or, over links, other daemons send requests.

        A daemon that waits for its ports may have neither.
        """
        has_backend = self.backend.announcement is not None
        return self.caller_server.is_listening or has_backend

    async def _run_until_stop(self) -> None:
        """Start; return when a stop is requested, also during the start."""
        starting = asyncio.create_task(self.start())
        stopping = asyncio.create_task(self._stop_requested.wait())
        await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            await starting
            await stopping
            return
        starting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await starting

    async def start(self) -> None:
        """Open the listeners and start to follow the store."""
        log_message(
            message_type="daemon:start",
            vm=self.settings.vm,
            service=self.settings.service,
            incarnation=self.identity.incarnation,
            seed=self.seed,
            held_limit_bytes=self.held.limit_bytes,
        )
        self.tasks.start("feed", self.feed.run)
        self.tasks.start("registration", self.registration.run)
        self.tasks.start("periodic", self._run_periodic_tasks)
        await self._open_listeners()

    async def _open_listeners(self) -> None:
        """Open all listeners; the daemon serves also without the metrics.

        A heartbeat is acknowledged, and the daemon reported as ready, only
        once callers and other daemons can connect.
        """
        settings = self.settings
        for purpose, server, address in (
            ("link", self.link_server, settings.link_address),
            ("callers", self.caller_server, settings.callers_address),
            ("control", self.control_server, settings.control_address),
            ("ready", self.ready_server, settings.ready_address),
        ):
            await open_listener(purpose, address, server.start, self.clock)
        try:
            await open_listener(
                "admin", settings.admin_address, self.admin_server.start, self.clock
            )
        except OSError as error:
            log_message(message_type="daemon:no_metrics", reason=str(error))

    async def drain(self) -> None:
        """Publish the drain, then finish the requests in flight."""
        log_message(message_type="daemon:leave", in_flight=self.in_flight_calls())
        self.local_entry.is_stopping = True
        self.local_entry.publish()
        await finish_requests(
            clock=self.clock,
            caller_server=self.caller_server,
            entry=self.entry,
            target=self.target,
            in_flight_calls=self.in_flight_calls,
            grace_ms=self.settings.grace_s * 1e3,
            drain_ms=self.settings.drain_ms,
        )
        log_message(message_type="daemon:left", in_flight=self.in_flight_calls())

    async def stop(self) -> None:
        """Cancel the tasks, remove the entry and close all connections."""
        self.tasks.stop()
        await self.local_entry.remove()
        for server in (
            self.caller_server,
            self.ready_server,
            self.control_server,
            self.admin_server,
        ):
            await server.stop()
        await self.link_server.stop()
        self.links.close()
        self.backend.close()
        self.store.close()
        log_message(message_type="daemon:stop", vm=self.settings.vm)
        if self._log_output is not None:
            self._log_output.flush(self.clock.now_ms())

    # State

    def is_ready(self) -> bool:
        """Return whether the daemon reports itself ready to callers."""
        return self.config.current is not None and not self.local_entry.is_stopping

    def is_named_service(self, service: str) -> bool:
        """Return whether the settings or the configuration name a service."""
        config = self.config.current
        is_configured = config is not None and service in config.health_paths
        return is_configured or service == self.settings.service

    def in_flight_calls(self) -> int:
        """Return the number of requests in flight at this daemon.

        A request that several components hold counts several times.
        """
        return (
            self.entry.in_flight_calls
            + self.target.running_calls
            + self.caller_server.busy_count
            + self.link_server.busy_count
        )

    def state(self) -> dict[str, object]:
        """Return the state of the daemon for the state dump; ages in ms."""
        config = self.config.current
        now_ms = self.clock.now_ms()
        return {
            "vm": self.settings.vm,
            "incarnation": self.identity.incarnation,
            "uptime_ms": int(now_ms - self.identity.started_ms),
            "seed": self.seed,
            "is_ready": self.is_ready(),
            "is_stopping": self.local_entry.is_stopping,
            "config_version": config.version if config else None,
            "config_age_ms": self.feed.freshness.age_ms(now_ms),
            "store_is_reached": self.feed.is_reached,
            "store_era": self.feed.replica.era,
            "is_store_reader": self.sources.is_reader,
            "store_source": self.feed.source_vm or "store",
            "store_calls": self.store.call_count,
            "backend": self.backend.state(),
            "gate": self.target.gate.state(),
            "cold": self.cold.state(),
            "evacuated_domains": sorted(self.evacuations.domains),
            "admitted_shares": self.throttle.state(),
            "stay_shares": self.spill.state() if self.spill else {},
            "call_trees": self.trees.state() if self.trees else None,
            "placement": self.placement.state(now_ms) if self.placement else {},
            "lending": self.lending.state(),
            "links": self.links.state(),
            "members": {
                member.vm: [member.service, member.state, member.failure_domain]
                for member in self.directory.members.all()
            },
            "in_flight_calls": self.in_flight_calls(),
            "held_bytes": self.held.used_bytes,
            "peak_memory_bytes": self.memory_watch.peak_bytes,
            "wakeup_pause_ms": self.coalescer.pause_ms,
        }

    # Callbacks

    def _get_local_revision(self, era: int) -> int:
        return self.directory.get_revision(self._local_member_key, era)

    def _hold_leave(self, member: Member) -> None:
        """Hold a stored leave if the store may be restored from a copy."""
        if self.feed.replica.era > 0:
            self.leave_replication.hold(member)

    def _begin_era(self, era: int) -> None:
        """Keep what a store restored from a copy has lost."""
        if self._era is not None and era > self._era:
            for member in self.directory.members.all():
                self.leave_replication.hold(member)
            self.config.expect_restored()
            self.registration.begin_era(era)
        self._era = era

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self._begin_era(snapshot.era)
        self.evacuations.apply_snapshot(snapshot)
        self.directory.apply_snapshot(snapshot)
        self._restore_leave()
        if not self._has_asked_replicas:
            self._has_asked_replicas = True
            self.tasks.start_once("leaves", self.local_entry.restore_replicated_leaves)
        for item in snapshot.items:
            if item.key == self._adapter.config_key:
                self.config.apply(item.value, item.revision)
        if not self._get_local_revision(snapshot.era):
            self.registration.rewrite_entry(snapshot.revision, snapshot.era)

    def _apply_change(self, change: Change) -> None:
        if change.key == self._adapter.config_key:
            if isinstance(change, Item):
                self.config.apply(change.value, change.revision)
            return
        if self.evacuations.is_key(change.key):
            self.evacuations.apply_change(change)
            return
        self.directory.apply_change(change)
        if change.key != self._local_member_key:
            return
        if isinstance(change, Removal):
            self.registration.rewrite_entry(change.revision, change.era)
        else:
            # The store may apply a write of an earlier process late.
            self._restore_leave()

    def _restore_leave(self) -> None:
        self.local_entry.restore_leave()
        self._update_from_backend()

    async def _discover_backend(self, config: RoutingConfig) -> None:
        """Probe the backend server that an earlier daemon process served.

        This resumes service after a restart of the daemon without waiting for
        the next announcement.
        """
        previous = self.directory.members.get(self.settings.vm)
        health_path = config.health_paths.get(self.settings.service)
        if previous is None or previous.service != self.settings.service:
            return
        if health_path is None or self.backend.announcement is not None:
            return
        client = self._connect_backend(self.settings.backend_address)
        found = await discover_backend(
            client,
            health_path=health_path,
            previous=previous,
            read_instance=self._adapter.read_instance,
            read_cold_ms=self._adapter.read_cold_ms,
        )
        client.close()
        if found is not None and self.backend.announcement is None:
            self.backend.apply_announcement(found)
            self._update_from_backend()

    def _apply_config(self, config: RoutingConfig) -> None:
        self.metrics.config_version.set(config.version)
        self.lending.apply_config(config)
        self.entry.durations.keep_routes(config.list_route_names())
        self.entry.has_less_urgent_roots = config.has_less_urgent_roots()
        limits = config.limits
        self.caller_server.idle_timeout_s = limits.idle_timeout_ms / 1e3
        self.caller_server.body_limit_bytes = limits.body_bytes
        self.caller_server.head_limit_bytes = limits.head_bytes
        self.caller_server.head_timeout_s = limits.head_timeout_ms / 1e3
        if not self._has_probed_backend:
            self._has_probed_backend = True
            self.tasks.start_once(
                "discovery", functools.partial(self._discover_backend, config)
            )

    def _update_from_backend(self) -> None:
        """Follow a change of the backend server's state."""
        announcement = self.backend.announcement
        if announcement is not None:
            self.target.gate.set_slots(announcement.slots)
        self.local_entry.publish()

    async def _handle_link_request(
        self, message: link_pb2.Request, _peer: str, body: Body
    ) -> Reply:
        request = decode_request(message, body)
        result = await self.target.handle(message.context, request)
        return encode_result(result, self._load(message.context.route))

    def _count_placed(self, service: str, is_local: bool) -> None:
        self.metrics.placed.labels(service, "own" if is_local else "other").inc()

    def _get_backend_service(self) -> str:
        announcement = self.backend.announcement
        return announcement.service if announcement else self.settings.service

    def _get_cold_rate_per_s(self, service: str) -> float:
        config = self.config.current
        return config.cold_rates_per_s.get(service, 0.0) if config else 0.0

    def _is_evacuated(self) -> bool:
        """Return whether no request may reach the local backend server.

        Nothing is known of evacuations before the store has been read.
        """
        if self.evacuations.is_evacuated(self.settings.failure_domain):
            return True
        return bool(self.settings.evacuation_ms) and not self.evacuations.is_known()

    def _end_evacuation(self, domain: str) -> None:
        if domain == self.settings.failure_domain:
            self.cold.require_heartbeat()

    def _load(self, route: str = "") -> link_pb2.Load:
        """Return the load of the target and of this daemon's processor."""
        load = self.target.load(route)
        load.queued += len(self.start_queue)
        return load

    async def _run_periodic_tasks(self) -> None:
        """Run the periodic work until cancelled."""
        while True:
            slept_ms = self.clock.now_ms()
            await asyncio.sleep(TICK_INTERVAL_MS / 1e3)
            self._record_lag(self.clock.now_ms() - slept_ms - TICK_INTERVAL_MS)
            self.coalescer.update()
            if self._log_output is not None:
                self._log_output.flush(self.clock.now_ms())
            self._watch_memory()
            if self.trees is not None:
                self.trees.update(self.target.gate.load())
            self.directory.expire_missing()
            self.evacuations.expire()
            self.lending.refresh()
            age_ms = self.feed.freshness.age_ms(self.clock.now_ms())
            self.metrics.store_calls.set(self.store.call_count)
            self.metrics.is_store_reader.set(self.sources.is_reader)
            self.metrics.config_age.set(-1 if age_ms is None else age_ms / 1e3)
            daemons = max(1, self.directory.members.count_live())
            slack = self.settings.budget_slack_calls * RETRY_SLACK_SHARE / daemons
            self.retry_ratio.set_spare_retries(slack)

    def _record_lag(self, lag_ms: float) -> None:
        """Show how late the event loop runs what is due."""
        self.metrics.loop_lag.observe(max(0.0, lag_ms) / 1e3)
        if lag_ms >= MIN_LOGGED_LAG_MS and self._can_log(LAG_MESSAGE_TYPE):
            log_message(
                message_type=LAG_MESSAGE_TYPE,
                lag_ms=round(lag_ms),
                in_flight=self.in_flight_calls(),
            )

    def _watch_memory(self) -> None:
        peak_bytes = read_peak_bytes()
        self.metrics.peak_memory.set(peak_bytes)
        self.memory_watch.update(peak_bytes, self.held.used_bytes)

    def _log_reload(self) -> None:
        log_message(message_type="daemon:reload", vm=self.settings.vm)

    def _log_cancel_sent(self, request_id: str, peer: str) -> None:
        if self._can_log(CANCEL_SENT_MESSAGE_TYPE):
            log_message(
                message_type=CANCEL_SENT_MESSAGE_TYPE, request=request_id, peer=peer
            )

    def _log_cancel_received(self, request_id: str, peer: str, age_ms: float) -> None:
        if self._can_log(CANCEL_RECEIVED_MESSAGE_TYPE):
            log_message(
                message_type=CANCEL_RECEIVED_MESSAGE_TYPE,
                request=request_id,
                peer=peer,
                age_ms=round(age_ms),
            )

    # Connections

    def _get_priority(self, request: HttpRequest) -> int:
        """Return the priority of a request in the start queue."""
        return link_pb2.NORMAL if self._adapter.has_key(request) else CHILD_PRIORITY

    def _make_local_server(self, handler: Handler) -> HttpServer:
        """Return a server for the platform and operators, who are few."""
        limit = ConnectionLimit(
            percent=LOCAL_CONNECTIONS_PERCENT, max_connections=MAX_LOCAL_CONNECTIONS
        )
        return self._make_server(
            handler, connection_limit=limit, body_limit_bytes=LOCAL_BODY_LIMIT_BYTES
        )

    def _make_server(
        self,
        handler: Handler,
        on_unanswered: UnansweredHandler | None = None,
        get_priority: Callable[[HttpRequest], int] | None = None,
        connection_limit: ConnectionLimit | None = None,
        body_limit_bytes: int = BODY_LIMIT_BYTES,
    ) -> HttpServer:
        return HttpServer(
            handler,
            body_limit_bytes=body_limit_bytes,
            render=self._adapter.make_refusal_response,
            sends_idle_refusal=False,
            on_read=self.coalescer.record_read,
            on_unanswered=on_unanswered,
            held=self.held,
            start_queue=self.start_queue,
            get_priority=get_priority or get_control_priority,
            connection_limit=connection_limit,
            parse_turns=self.parse_turns,
        )

    def _connect_backend(self, address: str) -> BackendClient:
        return BackendClient(
            address,
            clock=self.clock,
            body_limit_bytes=BODY_LIMIT_BYTES,
            held=self.held,
            parse_turns=self.parse_turns,
            options=ClientOptions(
                connect_timeout_ms=BACKEND_CONNECT_TIMEOUT_MS,
                tcp_user_timeout_ms=BACKEND_TCP_USER_TIMEOUT_MS,
                min_idle_ms=0,
                no_reuse_ms=0,
                forwards_host=True,
                accepts_close_delimited=True,
                match_response=self._adapter.match_response,
                on_read=self.coalescer.record_read,
            ),
        )


def get_control_priority(_request: HttpRequest) -> int:
    """Return the priority of announcements, checks and operators' requests."""
    return CHILD_PRIORITY + 1


def log_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error that no task or protocol of the daemon has handled.

    The handler of asyncio writes to stderr, which may block.
    """
    error = context.get("exception")
    log_message(
        message_type="loop:error",
        reason=str(context.get("message")),
        error=f"{type(error).__name__}: {error}" if error else "",
    )


def compute_watch_ms(settings: MeshSettings) -> int:
    """Return the wait of a watch of the store.

    A follower notices that its source is silent or behind after one and a
    half watches, and must then still have the configuration in time.
    """
    limit_ms = int(settings.config_apply_ms * WATCH_APPLY_SHARE)
    return min(settings.store_watch_ms, max(limit_ms, MIN_WATCH_MS))


def _can_always_log(kind: str, *, is_failure: bool = False) -> bool:
    return True
