"""Guard against calls to targets that fail, drain or are overloaded."""

import collections
import random

from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.routing.picker import TargetPicker

MEMBERS = [
    control_pb2.Member(vm=f"{domain}-{number}", failure_domain=domain, slots=10)
    for domain in ("bilbao", "oviedo")
    for number in (1, 2)
]


def pick(
    picker: TargetPicker,
    now_ms: float = 0.0,
    excluded: frozenset[str] = frozenset(),
    count: int = 400,
) -> collections.Counter[str]:
    """Count the choices by VM; "" counts those without a target."""
    picked: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        member = picker.choose(
            MEMBERS, own_domain="bilbao", excluded=set(excluded), now_ms=now_ms
        )
        picked[member.vm if member else ""] += 1
    return picked


def test_own_domain_is_preferred_until_it_is_loaded() -> None:
    """Guard against needless calls to other failure domains."""
    picker = TargetPicker(random.Random(1))
    assert set(pick(picker)) == {"bilbao-1", "bilbao-2"}
    for vm in ("bilbao-1", "bilbao-2"):
        picker.record_load(vm, link_pb2.Load(in_flight=10, limit=10), 0.0)
    assert set(pick(picker)) == {"oviedo-1", "oviedo-2"}
    assert set(pick(picker, now_ms=3_000.0)) == {"bilbao-1", "bilbao-2"}


def test_less_loaded_target_is_picked() -> None:
    """Guard against a choice that ignores calls in flight."""
    picker = TargetPicker(random.Random(1))
    picker.record_start("bilbao-1")
    assert set(pick(picker)) == {"bilbao-2"}


def test_target_that_fails_calls_is_avoided_for_a_while() -> None:
    """Guard against calls attracted by a failing target.

    Calls that fail early make its load look lower than that of healthy ones.
    """
    picker = TargetPicker(random.Random(1))
    failing = link_pb2.Load(in_flight=1, limit=10, failing_percent=40)
    for vm in ("bilbao-1", "bilbao-2"):
        picker.record_load(vm, failing, 0.0)
    for vm in ("oviedo-1", "oviedo-2"):
        picker.record_load(vm, link_pb2.Load(in_flight=6, limit=10), 0.0)
    assert set(pick(picker)) == {"oviedo-1", "oviedo-2"}
    assert set(pick(picker, now_ms=5_000.0)) == {"bilbao-1", "bilbao-2"}


def test_few_failures_do_not_move_calls_to_another_domain() -> None:
    """Guard against random failures that move traffic."""
    picker = TargetPicker(random.Random(1))
    for vm in ("bilbao-1", "bilbao-2"):
        picker.record_load(vm, link_pb2.Load(limit=10, failing_percent=5), 0.0)
    assert set(pick(picker)) == {"bilbao-1", "bilbao-2"}


def test_failed_target_is_ejected_then_probed_with_one_call() -> None:
    """Guard against many calls to a target that may still be down."""
    picker = TargetPicker(random.Random(1))
    picker.record_failure("bilbao-1", 0.0)
    assert "bilbao-1" not in pick(picker)
    assert "bilbao-1" in pick(picker, now_ms=400.0)
    picker.record_start("bilbao-1")
    assert "bilbao-1" not in pick(picker, now_ms=400.0)
    picker.record_failure("bilbao-1", 500.0)
    assert "bilbao-1" not in pick(picker, now_ms=850.0)
    picker.record_load("bilbao-1", link_pb2.Load(), 1_200.0)
    picker.record_end("bilbao-1")
    assert "bilbao-1" in pick(picker, now_ms=1_200.0)


def test_ejected_targets_are_used_if_no_other_is_left() -> None:
    """Guard against calls refused because all targets failed recently.

    Excluded targets are not used even then.
    """
    picker = TargetPicker(random.Random(1))
    for member in MEMBERS:
        picker.record_failure(member.vm, 0.0)
    assert "" not in pick(picker)
    excluded = frozenset(member.vm for member in MEMBERS)
    assert set(pick(picker, excluded=excluded)) == {""}


def test_only_ready_targets_are_picked() -> None:
    """Guard against calls to a target that is about to stop."""
    picker = TargetPicker(random.Random(1))
    member = control_pb2.Member(vm="one", state=control_pb2.DRAINING)
    assert picker.choose([member], own_domain="", excluded=set(), now_ms=0.0) is None
    picker.record_load("bilbao-1", link_pb2.Load(draining=True), 0.0)
    assert "bilbao-1" not in pick(picker)


def test_state_of_replaced_vms_is_evicted() -> None:
    """Guard against memory that grows with each replaced VM."""
    picker = TargetPicker(random.Random(1))
    for number in range(5_000):
        pick(picker, now_ms=number * 1_000.0, count=1)
        picker.record_start(f"vm-{number}")
        picker.record_end(f"vm-{number}")
    assert len(picker._targets) < 2_500
