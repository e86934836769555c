"""Guard against leaves that no daemon holds when they are asked for."""

import random

from eelgrassweir.mesh.leave_replication import REPLICA_COUNT, choose_replicas
from eelgrassweir.proto.control_pb2 import DOWN, READY, Member


def make_members(count: int, domains: int) -> list[Member]:
    """Return daemons that are spread evenly over failure domains."""
    return [
        Member(vm=f"vm-{index}", state=READY, failure_domain=f"d{index % domains}")
        for index in range(count)
    ]


def test_replicas_are_spread_over_failure_domains() -> None:
    """Guard against leaves that are lost with one failure domain."""
    members = make_members(60, 4)
    replicas = choose_replicas(members, "vm-0")
    assert len(replicas) == REPLICA_COUNT
    assert len({member.failure_domain for member in replicas}) == 4
    assert "vm-0" not in {member.vm for member in replicas}


def test_most_replicas_stay_when_members_change() -> None:
    """Guard against a restarted daemon that asks others than were told."""
    rng = random.Random(5)
    members = make_members(60, 4)
    for vm in ("vm-0", "vm-1", "vm-2"):
        told = {member.vm for member in choose_replicas(members, vm)}
        changed = [member for member in members if rng.random() > 0.1]
        changed[0] = Member(vm=changed[0].vm, state=DOWN)
        asked = {member.vm for member in choose_replicas(changed, vm)}
        assert len(told & asked) >= REPLICA_COUNT / 2


def test_lone_daemon_has_no_replicas() -> None:
    """Guard against a daemon that takes itself for a replica."""
    assert not choose_replicas(make_members(1, 1), "vm-0")
