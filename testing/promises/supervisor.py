"""Plan and confirm changes by the command line, as supervisors do."""

import json
import pathlib
import subprocess
import sys
import time
from typing import Any

import attrs
import urllib3

from testing.fleet import ROOT, Fleet


@attrs.frozen
class CommandResult:
    """The exit status and output of one command, and when it ended."""

    status: int
    stdout: str
    stderr: str
    ended_s: float

    @property
    def json(self) -> dict[str, Any]:
        """Return the parsed output of a command with ``--json``."""
        document: dict[str, Any] = json.loads(self.stdout)
        return document


@attrs.define
class Supervisor:
    """Plan and confirm changes through the daemon of ``vm``."""

    fleet: Fleet
    directory: pathlib.Path
    vm: str
    _count: int = 0

    def start(self, *arguments: str) -> "subprocess.Popen[str]":
        """Start one command, with ``--json``, and return its process."""
        return subprocess.Popen(
            [
                *(sys.executable, "-m", "eelgrassweir.cli.main", "--json"),
                *("--admin", self.fleet.vms[self.vm].admin_address, *arguments),
            ],
            env={"PYTHONPATH": str(ROOT / "src")},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run(self, *arguments: str) -> CommandResult:
        """Run one command and return its result."""
        return wait_for_result(self.start(*arguments))

    def plan(self, *arguments: str) -> CommandResult:
        """Run a command that writes a plan; its output names the file."""
        result = self.run(*arguments, "--out", self._make_plan_path())
        assert result.status == 0, result
        return result

    def plan_intent(self, intent: dict[str, Any]) -> str:
        """Plan an intent and return the path of the plan."""
        path = pathlib.Path(self._make_plan_path())
        path.write_text(json.dumps(intent))
        return str(self.plan("plan", str(path)).json["plan_file"])

    def plan_withdrawal(self, key_id: str) -> str:
        """Plan the withdrawal of a key and return the path of the plan."""
        return str(self.plan("keys", "withdraw", key_id).json["plan_file"])

    def confirm(self, plan_file: str, wait_s: float = 20.0) -> CommandResult:
        """Confirm a plan and wait up to ``wait_s`` until it is in force."""
        return self.run("confirm", plan_file, "--wait-s", str(wait_s))

    def confirm_at_once(self, plan_file: str) -> dict[str, Any]:
        """Confirm a plan at the admin listener; return its reply at once."""
        url = f"http://{self.fleet.vms[self.vm].admin_address}/confirm"
        body = json.loads(pathlib.Path(plan_file).read_text())
        response = urllib3.request("POST", url, json=body, timeout=15.0, retries=False)
        reply: dict[str, Any] = response.json()
        return reply

    def grant_key(self, team: str) -> tuple[str, str]:
        """Grant a key and wait for its rollout; return its ID and the key."""
        planned = self.plan("keys", "grant", team).json
        result = self.confirm(planned["plan_file"])
        assert result.status == 0, result
        plan = json.loads(pathlib.Path(planned["plan_file"]).read_text())
        before = {key["key_id"] for key in plan["base_document"]["keys"].values()}
        after = {key["key_id"] for key in plan["document"]["keys"].values()}
        return (after - before).pop(), planned["key"]

    def _make_plan_path(self) -> str:
        self._count += 1
        self.directory.mkdir(parents=True, exist_ok=True)
        return str(self.directory / f"{self.vm}-{id(self)}-{self._count}.json")


def wait_for_result(process: "subprocess.Popen[str]") -> CommandResult:
    """Wait for the end of a command and return its result."""
    stdout, stderr = process.communicate(timeout=60)
    return CommandResult(process.returncode, stdout, stderr, time.monotonic())
