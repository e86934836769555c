"""Guard against a queue that serves calls out of order or too late."""

from hypothesis import given, strategies as st

from eelgrassweir.admission.queue import CallQueue, QueuedCall


def make_call(
    priority: int = 1,
    depth: int = 0,
    deadline_ms: float = 1_000.0,
    arrived_ms: float = 0.0,
) -> QueuedCall:
    return QueuedCall(
        priority=priority,
        depth=depth,
        deadline_ms=deadline_ms,
        arrived_ms=arrived_ms,
        token=None,
    )


def pop_all(queue: CallQueue, now_ms: float) -> list[QueuedCall]:
    popped = []
    while (call := queue.pop(now_ms)[0]) is not None:
        popped.append(call)
    return popped


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 8)), max_size=40))
def test_lower_priority_call_never_overtakes_or_displaces_a_higher_one(
    keys: list[tuple[int, int]],
) -> None:
    """Guard against priority inversion and lost calls in a full queue."""
    queue = CallQueue(10)
    calls = [make_call(priority, depth) for priority, depth in keys]
    dropped = [call for each in calls for call in queue.push(each, 0.0)]
    popped = pop_all(queue, 1.0)
    order = [(call.priority, call.depth) for call in popped]
    assert order == sorted(keys, reverse=True)[:10]
    assert len(popped) + len(dropped) == len(calls)


def test_order_is_reversed_only_for_a_standing_queue() -> None:
    """Guard against newest-first order during a short burst."""
    queue = CallQueue(10)
    calls = [make_call(arrived_ms=at) for at in (0.0, 1.0, 2.0, 3.0)]
    for call in calls:
        assert queue.push(call, call.arrived_ms) == []
    assert queue.pop(4.0)[0] is calls[0]
    assert queue.pop(200.0)[0] is calls[3]
    pop_all(queue, 201.0)
    late = [make_call(arrived_ms=at) for at in (210.0, 211.0)]
    for call in late:
        queue.push(call, call.arrived_ms)
    assert queue.pop(212.0)[0] is late[0]


def test_call_that_cannot_meet_its_deadline_is_dropped() -> None:
    """Guard against work for a call whose caller will have timed out."""
    queue = CallQueue(10)
    for at in range(200):
        queue.record_service(100.0, float(at))
    infeasible = make_call(deadline_ms=250.0, arrived_ms=199.0)
    assert queue.push(infeasible, 199.0) == [infeasible]
    waiting = make_call(deadline_ms=400.0, arrived_ms=199.0)
    assert queue.push(waiting, 199.0) == []
    assert queue.pop(350.0) == (None, [waiting])


def test_slow_period_does_not_drop_calls_long_after_it() -> None:
    """Guard against an old service time that no new sample corrects."""
    queue = CallQueue(10)
    for at in range(200):
        queue.record_service(1_000.0, float(at))
    call = make_call(deadline_ms=5_250.0, arrived_ms=5_000.0)
    assert queue.push(call, 5_000.0) == []


def test_long_waiting_call_is_dropped_in_time_for_a_retry() -> None:
    """Guard against calls that wait until no time is left for a retry."""
    queue = CallQueue(10)
    old, newer = make_call(), make_call(arrived_ms=300.0, deadline_ms=1_300.0)
    assert queue.push(old, 0.0) == []
    assert queue.push(newer, 300.0) == []
    assert queue.pop(450.0) == (newer, [old])
