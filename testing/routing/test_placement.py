"""Guard against callers that wait for slow, paused or overfilled targets.

The load is played twice with the same arrivals: with the choice by load alone,
and with speed-aware placement.
"""

import functools
import random

import pytest

from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.routing.picker import TargetPicker
from eelgrassweir.routing.placement import SpeedAwarePlacement
from testing.routing.placement_load import (
    LoadSpec,
    PlayedLoad,
    SpeedChange,
    TargetSpec,
    play,
)

SPEEDS = (0.6, 1.0, 1.4)
WARM_MS = 2_000.0
PAUSED, PAUSE = 1, SpeedChange(start_ms=6_000.0, end_ms=6_400.0, share=0.0)
SLOWED, SLOWNESS = 4, SpeedChange(start_ms=8_000.0, end_ms=11_000.0, share=0.2)
NEW_MS = 12_000.0
END_MS = 16_000.0
KINDS = ("few", "many")


def make_spec(kind: str, utilization: float) -> LoadSpec:
    """Return a load on few targets with short runs or many with long ones.

    With many targets, an entry has a report of a target every 0.7 s only.
    """
    is_few = kind == "few"
    count, slots, run_ms = (5, 98, 83.0) if is_few else (30, 54, 330.0)
    changes = {PAUSED: (PAUSE,), SLOWED: (SLOWNESS,)}
    targets = [
        TargetSpec(speed=SPEEDS[number % 3], changes=changes.get(number, ()))
        for number in range(count)
    ]
    capacity_per_s = sum(t.speed for t in targets) * slots * 0.95 / run_ms * 1e3
    targets.append(TargetSpec(speed=1.0, appears_ms=NEW_MS))
    return LoadSpec(
        targets=tuple(targets),
        entries=29 if is_few else 89,
        calls_per_s=utilization * capacity_per_s,
        run_ms=(run_ms,),
        slots=slots,
        deadline_ms=701.0 if is_few else 2_001.0,
        duration_ms=END_MS,
    )


@functools.cache
def play_both(kind: str) -> tuple[PlayedLoad, PlayedLoad]:
    """Play the load by today's choice and by speed-aware placement."""
    spec = make_spec(kind, 0.85)
    by_load = play(spec, seed=5, is_speed_aware=False)
    return by_load, play(spec, seed=5, is_speed_aware=True)


@pytest.mark.parametrize("kind", KINDS)
def test_callers_get_more_answers_and_sooner(kind: str) -> None:
    """Guard against calls queued at slow targets while fast ones are free."""
    by_load, by_speed = play_both(kind)
    assert by_speed.success(WARM_MS) > 0.995
    assert by_speed.success(WARM_MS) > by_load.success(WARM_MS) + 0.005
    steady = (WARM_MS, PAUSE.start_ms)
    for quantile in (0.9, 0.99):
        limit_ms = 0.95 * by_load.latency_ms(quantile, *steady)
        assert by_speed.latency_ms(quantile, *steady) < limit_ms
    slowness = (SLOWNESS.start_ms, SLOWNESS.end_ms)
    assert by_speed.success(*slowness) > 0.98
    assert by_speed.success(*slowness) > by_load.success(*slowness) + 0.02


@pytest.mark.parametrize("kind", KINDS)
def test_median_is_no_worse_at_half_load(kind: str) -> None:
    """Guard against fast targets that are avoided while there is room."""
    spec = make_spec(kind, 0.4)
    by_load = play(spec, seed=6, is_speed_aware=False)
    by_speed = play(spec, seed=6, is_speed_aware=True)
    steady = (WARM_MS, PAUSE.start_ms)
    assert by_speed.latency_ms(0.5, *steady) < 0.95 * by_load.latency_ms(0.5, *steady)
    assert by_speed.success(WARM_MS) >= by_load.success(WARM_MS) - 0.001


@pytest.mark.parametrize("kind", KINDS)
def test_no_herd_forms(kind: str) -> None:
    """Guard against entries that send to one target at the same time."""
    by_load, by_speed = play_both(kind)
    targets = range(len(make_spec(kind, 0.85).targets))
    limit = 93 if kind == "few" else 51

    def find_peak(played: PlayedLoad, start_ms: float, end_ms: float) -> int:
        return max(played.peak_calls(target, start_ms, end_ms) for target in targets)

    assert find_peak(by_speed, WARM_MS, PAUSE.start_ms) < 1.6 * limit
    assert find_peak(by_speed, WARM_MS, END_MS) < find_peak(by_load, WARM_MS, END_MS)


def test_paused_target_gets_probes_only() -> None:
    """Guard against calls that wait for the end of a pause."""
    by_load, by_speed = play_both("few")
    paused = (PAUSE.start_ms + 200.0, PAUSE.end_ms)
    share = by_speed.share(PAUSED, *paused)
    assert 0.0 < share < 0.5 * by_speed.share(PAUSED, WARM_MS, PAUSE.start_ms)
    steady = (PAUSE.start_ms, PAUSE.end_ms)
    assert by_speed.latency_ms(0.95, *steady) < by_load.latency_ms(0.95, *steady)
    peaks = [
        played.peak_calls(PAUSED, PAUSE.start_ms, SLOWNESS.start_ms)
        for played in (by_load, by_speed)
    ]
    assert peaks[1] < 0.7 * peaks[0]


@pytest.mark.parametrize("kind", KINDS)
def test_slow_target_is_avoided_and_found_when_it_is_well(kind: str) -> None:
    """Guard against a target that keeps its calls, or never gets any again."""
    _, by_speed = play_both(kind)
    before = by_speed.share(SLOWED, WARM_MS, SLOWNESS.start_ms)
    during = by_speed.share(SLOWED, SLOWNESS.start_ms + 1_500.0, SLOWNESS.end_ms)
    assert 0.0 < during < 0.4 * before
    after = by_speed.share(SLOWED, SLOWNESS.end_ms + 2_000.0, END_MS)
    assert after > 0.6 * before


@pytest.mark.parametrize("kind", KINDS)
def test_new_target_ramps_up(kind: str) -> None:
    """Guard against a new target that all entries take to be the best."""
    by_load, by_speed = play_both(kind)
    fair = 1.0 / len(make_spec(kind, 0.85).targets)
    start = (NEW_MS, NEW_MS + 250.0)
    new = len(make_spec(kind, 0.85).targets) - 1
    assert 0.0 < by_speed.share(new, *start) < 0.6 * fair
    assert by_speed.share(new, *start) < by_load.share(new, *start)
    assert by_speed.share(new, NEW_MS + 1_000.0, END_MS) > 0.7 * fair


def test_old_reports_do_not_hide_the_speeds() -> None:
    """Guard against a choice at random where an entry sends few calls.

    Each entry sends a target a call every 3.5 s; half of the runs are short.
    """
    speeds = [0.5 + 0.04 * number for number in range(31)]
    spec = LoadSpec(
        targets=tuple(TargetSpec(speed=speed) for speed in speeds),
        entries=89,
        calls_per_s=0.8 * sum(speeds) * 51 / 1.8,
        run_ms=(1_200.0, 2_400.0),
        slots=54,
        deadline_ms=5_001.0,
        duration_ms=16_000.0,
    )
    by_load = play(spec, seed=7, is_speed_aware=False)
    by_speed = play(spec, seed=7, is_speed_aware=True)
    assert by_speed.success(5_000.0) > 0.97
    assert by_speed.success(5_000.0) > by_load.success(5_000.0) + 0.05


def test_targets_in_several_domains_are_used_by_their_speed() -> None:
    """Guard against a domain whose slow target keeps all of its calls."""
    speeds = (0.7, 0.9, 1.0, 1.2, 1.4)
    changes = {1: (PAUSE,), 2: (SLOWNESS,)}
    spec = LoadSpec(
        targets=tuple(
            TargetSpec(speed=speed, changes=changes.get(number, ()))
            for number, speed in enumerate(speeds)
        ),
        entries=29,
        calls_per_s=0.8 * sum(speeds) * 93 / 0.083,
        run_ms=(83.0,),
        slots=98,
        deadline_ms=701.0,
        duration_ms=13_000.0,
        domains=4,
    )
    by_load = play(spec, seed=9, is_speed_aware=False)
    by_speed = play(spec, seed=9, is_speed_aware=True)
    assert by_speed.success(WARM_MS) > 0.99
    assert by_speed.success(WARM_MS) > by_load.success(WARM_MS) + 0.005
    assert by_speed.peak_calls(1, PAUSE.start_ms, SLOWNESS.start_ms) < 0.8 * (
        by_load.peak_calls(1, PAUSE.start_ms, SLOWNESS.start_ms)
    )


def test_even_targets_are_used_as_before() -> None:
    """Guard against random differences of run times taken for speeds."""
    spec = LoadSpec(
        targets=(TargetSpec(speed=1.0),) * 12,
        entries=40,
        calls_per_s=0.9 * 12 * 51 / 0.33,
        run_ms=(330.0,),
        slots=54,
        deadline_ms=2_001.0,
        duration_ms=8_000.0,
    )
    by_load = play(spec, seed=8, is_speed_aware=False)
    by_speed = play(spec, seed=8, is_speed_aware=True)
    assert by_speed.success(WARM_MS) == 1.0
    for quantile in (0.5, 0.9, 0.99):
        limit_ms = 1.03 * by_load.latency_ms(quantile, WARM_MS)
        assert by_speed.latency_ms(quantile, WARM_MS) < limit_ms


def test_without_speed_reports_the_choice_is_by_load() -> None:
    """Guard against changes where the other daemons report no run times."""
    members = [
        control_pb2.Member(vm=str(number), service="gauge") for number in range(8)
    ]

    def pick_all(placement: SpeedAwarePlacement | None) -> list[str]:
        picker = TargetPicker(random.Random(3), placement=placement)
        picked = []
        for number in range(400):
            now_ms = 5.0 * number
            member = picker.choose(
                members, own_domain="", excluded=set(), now_ms=now_ms
            )
            assert member is not None
            call = picker.record_start(member.vm)
            load = link_pb2.Load(in_flight=number % 13, limit=10)
            picker.record_load(member.vm, load, now_ms)
            picker.record_end(member.vm, call, now_ms)
            picked.append(member.vm)
        return picked

    assert pick_all(SpeedAwarePlacement(random.Random(4))) == pick_all(None)


def test_sole_paused_target_of_the_domain_is_left() -> None:
    """Guard against calls that wait for the only target of the own domain."""
    picker = TargetPicker(
        random.Random(1),
        own_domain_margin=0.6,
        placement=SpeedAwarePlacement(random.Random(2)),
    )
    members = [
        control_pb2.Member(vm=vm, service="ledger", failure_domain=vm, slots=98)
        for vm in ("bilbao", "oviedo")
    ]

    def choose(now_ms: float) -> str:
        member = picker.choose(
            members, own_domain="bilbao", excluded=set(), now_ms=now_ms
        )
        assert member is not None
        return member.vm

    for number in range(20):
        now_ms = 100.0 * number
        assert choose(now_ms) == "bilbao"
        call = picker.record_start("bilbao")
        load = link_pb2.Load(in_flight=20, limit=93, service_ms=83)
        picker.record_load("bilbao", load, now_ms + 83.0)
        picker.record_response("bilbao", call, now_ms + 83.0)
        picker.record_end("bilbao", call, now_ms + 83.0)
    assert choose(2_000.0) == "bilbao"
    call = picker.record_start("bilbao")
    assert choose(2_100.0) == "bilbao"
    assert choose(2_300.0) == "oviedo"
    picker.record_response("bilbao", call, 2_400.0)
    picker.record_end("bilbao", call, 2_400.0)
    assert choose(2_410.0) == "bilbao"
    call = picker.record_start("bilbao")
    picker.record_end("bilbao", call, 3_100.0)
    assert choose(3_900.0) == "oviedo"
    assert choose(4_200.0) == "bilbao"


def test_views_of_gone_and_replaced_targets_are_dropped() -> None:
    """Guard against memory that grows with each replaced VM."""
    placement = SpeedAwarePlacement(random.Random(1))
    picker = TargetPicker(random.Random(1), placement=placement)
    for number in range(2_000):
        members = [
            control_pb2.Member(vm=f"vm-{number + other}", service="gauge")
            for other in (0, 1)
        ]
        now_ms = 1_000.0 * number
        member = picker.choose(members, own_domain="", excluded=set(), now_ms=now_ms)
        assert member is not None
        call = picker.record_start(member.vm)
        picker.record_end(member.vm, call, now_ms)
    assert len(placement._service_of) < 100
