"""What an entry knows of a target, for speed-aware placement."""

import attrs

from eelgrassweir.proto import link_pb2


@attrs.define
class TargetView:
    """Last report of a target, and the calls of this entry in flight to it.

    ``starts_ms`` holds the start of each call in flight, the oldest first.
    ``returned_ms`` is when the target appeared or began to answer again.
    ``paused_until_ms`` is set when a late call ends without a response.
    """

    incarnation: str
    returned_ms: float
    used_ms: float
    answered_ms: float
    reported_ms: float
    has_report: bool = False
    reported_calls: int = 0
    limit_calls: int = 0
    service_ms: float = 0.0
    stalled_ms: float = 0.0
    paused_until_ms: float = 0.0
    starts_ms: dict[int, float] = attrs.field(factory=dict)


def make_view(incarnation: str, now_ms: float) -> TargetView:
    """Return the view of a target that is seen for the first time."""
    return TargetView(
        incarnation=incarnation,
        returned_ms=now_ms,
        used_ms=now_ms,
        answered_ms=now_ms,
        reported_ms=now_ms,
    )


def apply_report(view: TargetView, load: link_pb2.Load, now_ms: float) -> None:
    """Replace the last report of the target."""
    view.has_report = True
    view.reported_ms = now_ms
    view.reported_calls = load.in_flight + load.queued
    view.limit_calls = load.limit
    view.stalled_ms = float(load.stalled_ms)
    # A target without recent runs is as fast as it was.
    view.service_ms = float(load.service_ms) or view.service_ms
