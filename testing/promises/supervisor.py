"""A shift supervisor at the command line, for the proofs."""

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
class Told:
    """Hold what one command said."""

    status: int
    shown: str
    errors: str
    ended_s: float

    @property
    def json(self) -> dict[str, Any]:
        """Return the output of a command with ``--json``."""
        found: dict[str, Any] = json.loads(self.shown)
        return found


@attrs.define
class Supervisor:
    """Plan and confirm changes through the daemon ``vm``."""

    fleet: Fleet
    folder: pathlib.Path
    vm: str
    _count: int = 0

    def start(self, *arguments: str) -> "subprocess.Popen[str]":
        """Start one command."""
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

    def run(self, *arguments: str) -> Told:
        """Run one command to its end."""
        return finish(self.start(*arguments))

    def plan(self, *arguments: str) -> Told:
        """Run a command that writes a plan; its output names the file."""
        told = self.run(*arguments, "--out", self._new_file())
        assert told.status == 0, told
        return told

    def plan_intent(self, intent: dict[str, Any]) -> str:
        """Plan an intent and return the name of the plan's file."""
        path = pathlib.Path(self._new_file())
        path.write_text(json.dumps(intent))
        return str(self.plan("plan", str(path)).json["plan_file"])

    def plan_withdrawal(self, key_id: str) -> str:
        """Plan the withdrawal of a key and return the plan's file."""
        return str(self.plan("keys", "withdraw", key_id).json["plan_file"])

    def confirm(self, plan_file: str, wait_s: float = 20.0) -> Told:
        """Confirm a plan and follow it."""
        return self.run("confirm", plan_file, "--wait-s", str(wait_s))

    def confirm_at_once(self, plan_file: str) -> dict[str, Any]:
        """Confirm a plan at the admin listener, without following it."""
        url = f"http://{self.fleet.vms[self.vm].admin_address}/confirm"
        body = json.loads(pathlib.Path(plan_file).read_text())
        response = urllib3.request("POST", url, json=body, timeout=15.0, retries=False)
        reply: dict[str, Any] = response.json()
        return reply

    def grant(self, team: str) -> tuple[str, str]:
        """Grant a key that is in force everywhere; return its id and it."""
        planned = self.plan("keys", "grant", team).json
        told = self.confirm(planned["plan_file"])
        assert told.status == 0, told
        plan = json.loads(pathlib.Path(planned["plan_file"]).read_text())
        before = {key["key_id"] for key in plan["base_document"]["keys"].values()}
        after = {key["key_id"] for key in plan["document"]["keys"].values()}
        return (after - before).pop(), planned["key"]

    def _new_file(self) -> str:
        self._count += 1
        self.folder.mkdir(parents=True, exist_ok=True)
        return str(self.folder / f"{self.vm}-{id(self)}-{self._count}.json")


def finish(process: "subprocess.Popen[str]") -> Told:
    """Wait for a command and return what it said."""
    shown, errors = process.communicate(timeout=60)
    return Told(process.returncode, shown, errors, time.monotonic())
