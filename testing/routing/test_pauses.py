"""Guard against pauses that are missed, or seen where runs are just long."""

from eelgrassweir.proto import link_pb2
from eelgrassweir.routing.completion import ServiceMeans
from eelgrassweir.routing.pauses import AnswerTimes, is_paused, probe_share
from eelgrassweir.routing.target_view import apply_report, make_view


def test_target_is_paused_only_if_no_call_is_answered() -> None:
    """Guard against a pause seen in one long run among short ones."""
    view = make_view("one", 0.0)
    view.starts_ms[1] = 0.0
    assert not is_paused(view, 200.0, 150.0)
    assert is_paused(view, 200.0, 250.0)
    view.answered_ms = 200.0
    assert not is_paused(view, 200.0, 250.0)
    assert not is_paused(view, None, 9_000.0)


def test_reported_stall_counts_until_it_is_old() -> None:
    """Guard against a stall that is ignored, or remembered forever."""
    view = make_view("one", 0.0)
    apply_report(view, link_pb2.Load(stalled_ms=300), 0.0)
    assert is_paused(view, 200.0, 500.0)
    assert not is_paused(view, 400.0, 500.0)
    assert not is_paused(view, 200.0, 1_500.0)


def test_late_time_follows_the_spread_of_answer_times() -> None:
    """Guard against a pause seen where run times differ widely."""
    even, mixed = AnswerTimes(), AnswerTimes()
    assert even.late_ms() is None
    for number in range(100):
        even.record(80.0)
        mixed.record(15.0 if number % 2 else 830.0)
    assert even.late_ms() == 160.0
    assert (mixed.late_ms() or 0.0) > 1_000.0


def test_paused_target_gets_a_twentieth_but_one_probe_a_second() -> None:
    """Guard against floods of probes, and against none in a calm service."""
    busy = ServiceMeans(service_ms=100.0, utilization=0.8, limit_calls=50.0)
    calm = ServiceMeans(service_ms=100.0, utilization=0.01, limit_calls=50.0)
    idle = ServiceMeans(service_ms=100.0, utilization=0.0, limit_calls=50.0)
    assert probe_share(busy) == 0.05
    assert round(probe_share(calm), 6) == 0.2
    assert probe_share(idle) == 1.0
