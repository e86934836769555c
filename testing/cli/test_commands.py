"""Guard against commands that report another outcome than what happened."""

import json
import pathlib
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from eelgrassweir.cli.main import run
from eelgrassweir.config.document import dump_document, find_team_of_key
from testing.config.documents import make_document
from testing.stand_ins.admin_daemon import ISOLATION_LIMIT_MS, AdminDaemon
from testing.stand_ins.store_process import StoreProcess

Output = pytest.CaptureFixture[str]


@pytest.fixture
def daemons(store: StoreProcess) -> Iterator[list[AdminDaemon]]:
    """Run two daemons on one store that holds version 1."""
    daemons = [AdminDaemon(store.url) for _ in range(2)]
    text = dump_document(make_document()).decode()
    daemons[0].store.put("config/current", text, expect_revision=0).unwrap()
    for daemon in daemons:
        daemon.refresh()
    yield daemons
    for daemon in daemons:
        daemon.close()


def make_plan(daemon: AdminDaemon, folder: pathlib.Path, name: str, rate: int) -> str:
    """Plan a new rate for team alfa and return the plan's file."""
    intent = folder / f"{name}.json"
    value = {"teams": {"set": {"alfa": {"rate_per_s": rate}}}}
    intent.write_text(json.dumps(value))
    plan = folder / f"{name}.plan.json"
    arguments = ["--admin", daemon.address, "plan", str(intent), "--out", str(plan)]
    assert run(arguments) == 0
    return str(plan)


def confirm(daemon: AdminDaemon, plan: str, *flags: str) -> int:
    """Confirm a plan without waiting and return the exit status."""
    return run(["--admin", daemon.address, "confirm", plan, "--wait-s", "0", *flags])


def race(daemons: list[AdminDaemon], plans: list[str]) -> list[tuple[int, str]]:
    """Confirm one plan at each daemon in concurrent processes.

    Return the exit status and the output of each.
    """
    environment = {"PYTHONPATH": ":".join(sys.path)}
    processes = [
        subprocess.Popen(
            [
                *(sys.executable, "-m", "eelgrassweir.cli.main"),
                *("--admin", daemon.address, "confirm", plan, "--wait-s", "0"),
            ],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for daemon, plan in zip(daemons, plans, strict=True)
    ]
    outputs = [process.communicate(timeout=60)[0] for process in processes]
    return [(p.returncode, text) for p, text in zip(processes, outputs, strict=True)]


def test_two_plans_on_one_version_apply_exactly_one(
    daemons: list[AdminDaemon], tmp_path: pathlib.Path
) -> None:
    """Guard against concurrent plans of which both or neither take effect."""
    plans = [
        make_plan(daemon, tmp_path, f"p{n}", 80 + n) for n, daemon in enumerate(daemons)
    ]
    outcomes = race(daemons, plans)
    statuses = [status for status, _ in outcomes]
    assert sorted(statuses) == [0, 3], outcomes
    shown = outcomes[statuses.index(3)][1]
    winner = 80 + statuses.index(0)
    assert "Changed since the plan:" in shown
    assert f"team alfa: 100 calls/s, burst of 50 calls -> {winner}" in shown
    assert "Nothing of this plan has taken effect" in shown
    daemons[0].refresh()
    assert daemons[0].document is not None
    assert daemons[0].document.version == 2
    assert daemons[0].document.teams["alfa"].rate_per_s == winner


def test_same_plan_at_two_daemons_applies_once(
    daemons: list[AdminDaemon], tmp_path: pathlib.Path
) -> None:
    """Guard against a plan that is applied twice."""
    plan = make_plan(daemons[0], tmp_path, "p", 90)
    outcomes = race(daemons, [plan, plan])
    assert [status for status, _ in outcomes] == [0, 0], outcomes
    daemons[0].refresh()
    assert daemons[0].document is not None
    assert daemons[0].document.version == 2


def test_repeated_confirm_after_a_store_failure_applies_once(
    daemons: list[AdminDaemon],
    store: StoreProcess,
    tmp_path: pathlib.Path,
    capsys: Output,
) -> None:
    """Guard against a repeat that applies again after a lost answer."""
    plan = make_plan(daemons[0], tmp_path, "p", 90)
    store.set_faults(down="closed")
    assert confirm(daemons[0], plan) == 4
    assert "takes effect at most once" in capsys.readouterr().err
    store.set_faults(down="", lose_answers=1)
    assert confirm(daemons[0], plan) == 0
    assert confirm(daemons[1], plan) == 0
    assert "Already accepted as version 2" in capsys.readouterr().out


def test_stale_read_never_lowers_the_version(
    daemons: list[AdminDaemon], store: StoreProcess, tmp_path: pathlib.Path
) -> None:
    """Guard against a stale store read that undoes or allows a change."""
    assert confirm(daemons[0], make_plan(daemons[0], tmp_path, "p", 90)) == 0
    old = make_plan(daemons[1], tmp_path, "q", 95)
    store.set_faults(stale_reads=1)
    daemons[0].refresh()
    assert daemons[0].document is not None
    assert daemons[0].document.version == 2
    store.set_faults(stale_reads=1)
    assert confirm(daemons[1], old) == 3


def test_incomplete_rollout_names_lagging_daemons_and_end_of_old_version(
    daemons: list[AdminDaemon], tmp_path: pathlib.Path, capsys: Output
) -> None:
    """Guard against an incomplete rollout that is reported as done."""
    daemons[0].lagging = ["vm-3"]
    plan = make_plan(daemons[0], tmp_path, "p", 90)
    capsys.readouterr()
    assert confirm(daemons[0], plan, "--json") == 5
    shown = capsys.readouterr()
    reply = json.loads(shown.out)
    assert (reply["daemons_have"], reply["daemons_known"]) == (2, 3)
    assert reply["lagging"] == ["vm-3"]
    assert reply["old_version_until_wall_ms"] > ISOLATION_LIMIT_MS
    assert "2 of 3 daemons have version 2; not yet: vm-3" in shown.err


def test_granted_key_is_shown_once_and_works_after_confirm(
    daemons: list[AdminDaemon], tmp_path: pathlib.Path, capsys: Output
) -> None:
    """Guard against a key that leaks, or works before it is confirmed."""
    daemon, plan = daemons[0], tmp_path / "grant.json"
    flags = ["--json", "--admin", daemon.address]
    assert run([*flags, "keys", "grant", "alfa", "--out", str(plan)]) == 0
    key = json.loads(capsys.readouterr().out)["key"]
    assert daemon.document is not None
    assert find_team_of_key(daemon.document, key) is None
    assert key not in plan.read_text()
    assert plan.stat().st_mode & 0o077 == 0
    assert confirm(daemon, str(plan)) == 0
    assert find_team_of_key(daemon.document, key) == "alfa"
    capsys.readouterr()
    assert run([*flags, "keys", "list"]) == 0
    ids = [entry["key_id"] for entry in json.loads(capsys.readouterr().out)]
    new_id = next(key_id for key_id in ids if key_id != "k1")
    plan = tmp_path / "withdraw.json"
    assert run([*flags, "keys", "withdraw", new_id, "--out", str(plan)]) == 0
    assert confirm(daemon, str(plan)) == 0
    assert find_team_of_key(daemon.document, key) is None


def test_key_of_a_refused_plan_is_not_shown(
    daemons: list[AdminDaemon], capsys: Output
) -> None:
    """Guard against showing a key that will never work."""
    assert run(["--admin", daemons[0].address, "keys", "grant", "none"]) == 3
    assert "ew_" not in "".join(capsys.readouterr())


@pytest.mark.parametrize("command", ["status", "dump", "teams", "history"])
def test_read_only_commands_work_while_the_store_is_down(
    daemons: list[AdminDaemon], store: StoreProcess, capsys: Output, command: str
) -> None:
    """Guard against read-only commands that depend on the store."""
    store.set_faults(down="closed")
    assert run([command, "--admin", daemons[0].address]) == 0
    assert run([command, "--admin", daemons[0].address, "--json"]) == 0
    assert capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        ([], 2),
        (["nothing"], 2),
        (["status", "--bogus"], 2),
        (["confirm", "/nowhere/plan.json"], 2),
        (["confirm", "x", "--wait-s", "nan"], 2),
        (["stop", "plan", "vm-1", "--start", "tomorrow"], 2),
        (["stop", "plan", "vm-1", "--start", "2026-01-31T06:00:00"], 2),
        (["--admin", "127.0.0.1:1", "status"], 4),
        (["--token-file", "/nowhere/token", "status"], 2),
    ],
)
def test_exit_status_tells_the_kind_of_failure(
    arguments: list[str], status: int
) -> None:
    """Guard against a usage error that looks like an unreachable daemon."""
    assert run(arguments) == status


def test_command_with_an_unknown_flag_has_no_effect(
    daemons: list[AdminDaemon], store: StoreProcess, tmp_path: pathlib.Path
) -> None:
    """Guard against a mistyped command that still writes to the store."""
    plan = make_plan(daemons[0], tmp_path, "p", 90)
    puts = store.get_counts()["put"]
    assert confirm(daemons[0], plan, "--bogus") == 2
    assert store.get_counts()["put"] == puts


def test_planned_stop_is_confirmed_and_cancelled(
    daemons: list[AdminDaemon], tmp_path: pathlib.Path
) -> None:
    """Guard against a planned stop that cannot be set or cancelled."""
    daemon = daemons[0]
    steps: list[tuple[str, Any]] = [("plan", {"vm-1"}), ("cancel", set())]
    for verb, expected in steps:
        out = str(tmp_path / verb)
        flags = ["--admin", daemon.address, "--out", out]
        assert run(["stop", verb, "vm-1", *flags]) == 0
        assert confirm(daemon, out) == 0
        assert daemon.document is not None
        assert set(daemon.document.stops) == expected
