"""Guard against a broken walkthrough of the README."""

import json
import pathlib
import subprocess
import sys
from typing import Any

import pytest
import urllib3

from testing.fleet import ROOT, Fleet, wait_until
from testing.shapes import DEMO

pytestmark = pytest.mark.processes


class CommandLine:
    """Run ``eelgrassweir`` against one daemon."""

    def __init__(self, admin: str, directory: pathlib.Path) -> None:
        self._admin = admin
        self._directory = directory

    def run(self, *arguments: str, status: int = 0) -> str:
        """Run a command and return what it prints."""
        command = [sys.executable, "-m", "eelgrassweir.cli.main"]
        done = subprocess.run(
            [*command, "--admin", self._admin, *arguments],
            cwd=self._directory,
            env={"PYTHONPATH": str(ROOT / "src"), "PATH": ""},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == status, (arguments, done.stdout, done.stderr)
        return done.stdout

    def json(self, *arguments: str, status: int = 0) -> Any:
        """Run a command and return its JSON."""
        return json.loads(self.run("--json", *arguments, status=status))

    def confirm(self, plan: dict[str, Any]) -> None:
        """Confirm a plan and wait until it is in force everywhere."""
        self.run("confirm", plan["plan_file"])


def test_walkthrough_from_a_key_to_a_planned_stop(tmp_path: pathlib.Path) -> None:
    """Guard against commands of the README that fail or have no effect."""
    with Fleet(DEMO, tmp_path) as fleet:
        fleet.wait_ready()
        entry, other = fleet.vms["fichero-1"], fleet.vms["registro-2"]
        command = CommandLine(other.admin_address, tmp_path)
        host, _, port = entry.ingress_address.rpartition(":")
        # A single connection, so that the key is withdrawn while its caller is
        # connected.
        caller = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, block=True, retries=False
        )

        def call(key: str) -> urllib3.BaseHTTPResponse:
            headers = {"X-Api-Key": key, "X-Marker": "newcomer"}
            return caller.request("GET", "/fichero/view", headers=headers)

        granted = command.json("keys", "grant", "taller")
        key = str(granted["key"])
        assert call(key).status == 401, "a key works before its plan is confirmed"
        command.confirm(granted)
        assert call(key).status == 200

        intent = tmp_path / "intent.json"
        rates = {"rate_per_s": 1, "burst_calls": 3}
        intent.write_text(json.dumps({"teams": {"set": {"taller": rates}}}))
        plan = command.json("plan", str(intent))
        assert call(key).status == 200
        command.confirm(plan)
        statuses = [call(key).status for _ in range(40)]
        assert statuses.count(429) > 20

        ids = {item["team"]: item["key_id"] for item in command.json("keys", "list")}
        assert ids["taller"]
        key_id = next(
            item["key_id"]
            for item in command.json("keys", "list")
            if item["key_id"] in json.dumps(granted["changes"])
        )
        command.confirm(command.json("keys", "withdraw", key_id))
        refused = call(key)
        assert refused.status == 401
        assert refused.json()["not_run"] is True

        command.confirm(command.json("stop", "plan", "fichero-2"))
        wait_until(
            lambda: command.json("dump", "fichero-2")["requests"]["refuses_new_work"],
            20_000,
            "the planned stop takes effect",
        )
        status = command.json("status")
        assert status["fleet"]["daemons_known"] == len(fleet.vms)
        assert len(command.json("history")) >= 4
        assert command.run("teams").count("taller") == 1
        assert key not in command.run("dump", "fichero-1")
