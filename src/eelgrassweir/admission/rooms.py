"""Reports of services that are short of capacity, as known to one daemon.

Load condition: a service below the roots is full, and the entries of the
roots do not call it themselves. Reports travel upwards with replies.
"""

import statistics

import attrs

MAX_SERVICES = 8
MAX_TARGETS = 512
# Reports are valid for this time, and a share that has returned to 1 is still
# reported, since it replaces the earlier report at daemons further up.
VALID_MS = 2_000.0
# A combined share is computed again after this time.
CACHE_MS = 50.0
# Targets with free slots make up for those without, up to this factor.
MAX_HEADROOM = 1.5
FULL_UTILIZATION = 0.95
UTILIZATION_WEIGHT = 0.2
# A target is left out if its report is older than this and than the median
# report by this factor. Counting lost targets as free admitted too many trees
# for two seconds.
SILENT_MS = 150.0
SILENT_AGE_FACTOR = 4.0


@attrs.frozen
class Room:
    """Admitted share of a service and the age of its measurement."""

    service: str
    share: float
    age_ms: float


@attrs.define
class _TargetReport:
    limit_calls: int
    utilization: float
    share: float
    reported_ms: float


@attrs.define
class _Relayed:
    share: float
    measured_ms: float


class RoomTable:
    """Combine the shares that targets report with those that others relay."""

    def __init__(self) -> None:
        self._targets: dict[str, dict[str, _TargetReport]] = {}
        self._relayed: dict[str, _Relayed] = {}
        self._reduced_ms: dict[str, float] = {}
        self._rooms: list[Room] = []
        self._computed_ms = float("-inf")

    def record_target(
        self,
        service: str,
        vm: str,
        *,
        limit_calls: int,
        used_calls: int,
        share: float,
        now_ms: float,
    ) -> None:
        """Record the load and the share that a target of a service reports."""
        targets = self._targets.setdefault(service, {})
        utilization = used_calls / max(1, limit_calls)
        report = targets.get(vm)
        if report is None:
            if len(targets) < MAX_TARGETS:
                targets[vm] = _TargetReport(limit_calls, utilization, share, now_ms)
            return
        report.limit_calls = limit_calls
        report.utilization += UTILIZATION_WEIGHT * (utilization - report.utilization)
        report.share = share
        report.reported_ms = now_ms

    def record_relayed(self, room: Room, now_ms: float) -> None:
        """Record a share that another daemon knows; the newest is kept."""
        measured_ms = now_ms - room.age_ms
        known = self._relayed.get(room.service)
        if known is None:
            if len(self._relayed) < MAX_SERVICES and room.age_ms <= VALID_MS:
                self._relayed[room.service] = _Relayed(room.share, measured_ms)
        elif measured_ms >= known.measured_ms:
            known.share, known.measured_ms = room.share, measured_ms

    def list_rooms(self, now_ms: float) -> list[Room]:
        """Return the services whose share is or recently was below 1."""
        if now_ms - self._computed_ms >= CACHE_MS:
            self._computed_ms = now_ms
            self._expire(now_ms)
            self._rooms = self._compute_rooms(now_ms)
        return self._rooms

    def _compute_rooms(self, now_ms: float) -> list[Room]:
        rooms = []
        for service in {**self._targets, **self._relayed}:
            room = self._combine(service, now_ms)
            if room is None:
                continue
            if room.share < 1.0:
                self._reduced_ms[service] = now_ms
            if service in self._reduced_ms:
                rooms.append(room)
        rooms.sort(key=lambda room: room.share)
        return rooms[:MAX_SERVICES]

    def _combine(self, service: str, now_ms: float) -> Room | None:
        """Return the newer of the targets' own and the relayed reports."""
        direct = _average(service, self._targets.get(service, {}), now_ms)
        relayed = self._relayed.get(service)
        if relayed is None:
            return direct
        age_ms = now_ms - relayed.measured_ms
        if direct is not None and direct.age_ms <= age_ms:
            return direct
        return Room(service, relayed.share, age_ms)

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - VALID_MS
        for service, targets in list(self._targets.items()):
            for vm in [v for v, r in targets.items() if r.reported_ms < oldest_ms]:
                del targets[vm]
            if not targets:
                del self._targets[service]
        for service, relayed in list(self._relayed.items()):
            if relayed.measured_ms < oldest_ms:
                del self._relayed[service]
        for service, reduced_ms in list(self._reduced_ms.items()):
            if reduced_ms < oldest_ms:
                del self._reduced_ms[service]


def _average(
    service: str, targets: dict[str, _TargetReport], now_ms: float
) -> Room | None:
    """Return the mean share of the targets, weighted by their limits."""
    reports = _list_answering(list(targets.values()), now_ms)
    limit_calls = sum(report.limit_calls for report in reports)
    if not limit_calls:
        return None
    share = age_ms = 0.0
    for report in reports:
        weight = report.limit_calls / limit_calls
        share += weight * _share_with_headroom(report)
        age_ms += weight * (now_ms - report.reported_ms)
    return Room(service, min(1.0, share), age_ms)


def _list_answering(reports: list[_TargetReport], now_ms: float) -> list[_TargetReport]:
    """Return the reports without those of targets that no longer answer."""
    if not reports:
        return []
    reported_ms = statistics.median(report.reported_ms for report in reports)
    limit_ms = SILENT_MS + SILENT_AGE_FACTOR * (now_ms - reported_ms)
    return [report for report in reports if now_ms - report.reported_ms <= limit_ms]


def _share_with_headroom(report: _TargetReport) -> float:
    if report.share < 1.0:
        return report.share
    headroom = FULL_UTILIZATION / max(report.utilization, 0.01)
    return min(MAX_HEADROOM, max(1.0, headroom))
