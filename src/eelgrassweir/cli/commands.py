"""Commands of the command line; Fire turns the classes into subcommands."""

import json as json_module
import secrets
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from fire.decorators import SetParseFn

from eelgrassweir.cli.admin_client import AdminClient
from eelgrassweir.cli.explain import (
    explain,
    explanation_json,
    explanation_text,
    read_log,
)
from eelgrassweir.cli.failure import CommandError, ExitStatus
from eelgrassweir.cli.files import read_json, read_token, write_plan
from eelgrassweir.cli.progress import Progress, follow, old_version_note
from eelgrassweir.cli.show import change_lines, plan_text, status_text, table
from eelgrassweir.config.document import hash_key

_KEY_BYTES = 32
_CONFIRM_STATUSES = (200, 409, 503)


class Action:
    """Defer a command until Fire has parsed the whole command line.

    Fire calls a command before it reports unknown arguments, so the command
    itself must have no effect.
    """

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run


def run_action(action: Action) -> None:
    """Run a deferred command."""
    action._run()


class _CommandGroup:
    """Hold the options that all commands share."""

    def __init__(self, admin: str, as_json: bool, token_file: str) -> None:
        self._as_json = as_json
        self._admin = admin
        self._token_file = token_file

    def _make_client(self) -> AdminClient:
        return AdminClient(self._admin, read_token(self._token_file))

    def _print_result(self, value: Any, text: Callable[[], str]) -> None:
        if self._as_json:
            print(json_module.dumps(value, indent=1, sort_keys=True))
        else:
            print(text())

    def _request_plan(self, intent: Any, out: str, *, key: str = "") -> None:
        """Request a plan for ``intent``, write it to a file and show it.

        ``key`` is a new key to show once with the plan.

        :raises CommandError: if the plan has refusals or cannot be written.
        """
        plan: dict[str, Any] = self._make_client().post("/plan", intent, (200,)).body
        if plan["refusals"]:
            self._print_result(plan, lambda: plan_text(plan))
            reason = "the plan is refused; nothing was written"
            raise CommandError(ExitStatus.REFUSED, reason, "Correct the intent.")
        path = write_plan(plan, out)
        shown = {
            name: plan[name]
            for name in ("plan_id", "base_version", "changes", "warnings", "refusals")
        }
        shown |= {"plan_file": path} | ({"key": key} if key else {})
        self._print_result(shown, lambda: self._format_written_plan(plan, path, key))

    def _format_written_plan(self, plan: dict[str, Any], path: str, key: str) -> str:
        parts = [plan_text(plan), ""]
        if key:
            parts += [f"Key, shown only once and not stored: {key}", ""]
        command = f"eelgrassweir --admin {self._admin} confirm {path}"
        parts.append(f"Nothing has taken effect yet. To apply it: {command}")
        return "\n".join(parts)


class Keys(_CommandGroup):
    """Grant, withdraw and list keys of teams."""

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def grant(self, team: str, *, out: str = "") -> Action:
        """Plan a new key for a team; the key is shown only once."""
        return Action(lambda: self._grant(team, out))

    def _grant(self, team: str, out: str) -> None:
        key = "ew_" + secrets.token_urlsafe(_KEY_BYTES)
        entry = {"key_id": f"{secrets.token_hex(6)}", "team": team}
        self._request_plan({"keys": {"grant": {hash_key(key): entry}}}, out, key=key)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def withdraw(self, key_id: str, *, out: str = "") -> Action:
        """Plan the withdrawal of a key, named by its id."""
        intent = {"keys": {"withdraw": [key_id]}}
        return Action(lambda: self._request_plan(intent, out))

    def list(self) -> Action:
        """Show the ids of all keys and their teams."""
        return Action(self._list)

    def _list(self) -> None:
        keys = self._make_client().get("/config")["keys"]
        rows = [(key["key_id"], key["team"]) for key in keys]
        self._print_result(keys, lambda: table(("KEY ID", "TEAM"), rows))


class Stop(_CommandGroup):
    """Plan stops of VMs and cancel them."""

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def plan(self, vm: str, *, start: str = "", out: str = "") -> Action:
        """Plan the stop of a VM, now or at START (2026-01-31T06:00:00Z)."""
        return Action(lambda: self._plan(vm, start, out))

    def _plan(self, vm: str, start: str, out: str) -> None:
        start_ms = _parse_wall_ms(start) if start else int(time.time() * 1000)
        self._request_plan({"stops": {"set": {vm: {"start_wall_ms": start_ms}}}}, out)

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def cancel(self, vm: str, *, out: str = "") -> Action:
        """Plan to cancel the planned stop of a VM."""
        return Action(lambda: self._request_plan({"stops": {"remove": [vm]}}, out))


class Commands(_CommandGroup):
    """Plan and confirm changes, and look at the state of the fleet.

    Flags for all commands: --admin HOST:PORT of any daemon, --json for
    programs, --token-file FILE with the admin token.

    Exit statuses: 0 done, 1 failed, 2 wrong usage, 3 refused or conflict,
    4 daemon or store not reachable, 5 accepted but not yet in force
    everywhere.
    """

    def __init__(
        self, *, admin: str = "127.0.0.1:9005", json: bool = False, token_file: str = ""
    ) -> None:
        super().__init__(str(admin), bool(json), str(token_file))
        self.keys = Keys(str(admin), bool(json), str(token_file))
        self.stop = Stop(str(admin), bool(json), str(token_file))

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def plan(self, file: str, *, out: str = "") -> Action:
        """Plan the intent in FILE and write the plan to a new file."""
        return Action(lambda: self._request_plan(read_json(file), out))

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def confirm(self, plan_file: str, *, wait_s: str = "20") -> Action:
        """Apply a plan and follow its rollout for up to WAIT_S seconds."""
        return Action(lambda: self._confirm(plan_file, _parse_wait_s(wait_s)))

    def _confirm(self, plan_file: str, wait_s: float) -> None:
        client = self._make_client()
        answer = client.post("/confirm", read_json(plan_file), _CONFIRM_STATUSES)
        accepted_wall_ms = time.time() * 1000
        reply = answer.body
        if reply["result"] not in ("applied", "already_applied"):
            self._fail_confirm(reply)
        progress = follow(
            lambda: dict(client.get("/status")),
            reply["version"],
            wait_s=wait_s,
            show=lambda text: print(text, file=sys.stderr),
        )
        note = old_version_note(accepted_wall_ms, reply["isolation_limit_ms"])
        shown = reply | {
            "daemons_have": progress.updated_daemons,
            "daemons_known": progress.known_daemons,
            "lagging": progress.lagging,
            "lost": progress.lost,
            "is_everywhere": progress.is_complete,
            "old_version_until_wall_ms": int(
                accepted_wall_ms + reply["isolation_limit_ms"]
            ),
        }
        self._print_result(shown, lambda: _format_confirmation(reply, progress, note))
        if not progress.is_complete:
            raise CommandError(
                ExitStatus.ROLLOUT_INCOMPLETE,
                "accepted, but not yet in force at every daemon",
                "List the lagging daemons with: status. No second confirm is needed.",
            )

    def _fail_confirm(self, reply: dict[str, Any]) -> None:
        """Show why a plan was not applied and raise CommandError."""
        if self._as_json:
            print(json_module.dumps(reply, indent=1, sort_keys=True))
        elif reply["changed_since"]:
            print("Changed since the plan:")
            print("\n".join(change_lines(reply["changed_since"])))
        if reply["result"] in ("store_unreachable", "minority"):
            unreachable = "store is" if reply["result"] != "minority" else "domains are"
            advice = (
                "Keep the plan file and repeat this command when the "
                f"{unreachable} reachable again."
            )
            raise CommandError(ExitStatus.UNREACHABLE, reply["reason"], advice)
        if reply["result"] == "behind":
            raise CommandError(ExitStatus.FAILED, reply["reason"])
        raise CommandError(
            ExitStatus.REFUSED,
            f"plan not applied: {reply['reason']}",
            "Nothing of this plan has taken effect.",
        )

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def explain(self, request_id: str, *files: str) -> Action:
        """Show why a request failed, from the log files of daemons."""
        return Action(lambda: self._explain(request_id, files))

    def _explain(self, request_id: str, files: tuple[str, ...]) -> None:
        if not files:
            raise CommandError(
                ExitStatus.USAGE, "no log file given", "Name the log files of daemons."
            )
        logs = [read_log(path) for path in files]
        found = explain(request_id, logs)
        shown = explanation_json(found, logs)
        self._print_result(shown, lambda: explanation_text(found, logs))

    def status(self) -> Action:
        """Show the daemon's state and the fleet's configuration versions."""
        return Action(self._status)

    def _status(self) -> None:
        status = self._make_client().get("/status")
        self._print_result(status, lambda: status_text(status))

    @SetParseFn(str)  # type: ignore[untyped-decorator]
    def dump(self, vm: str = "") -> Action:
        """Show the full state of the daemon on VM, or at --admin, as JSON."""
        return Action(lambda: self._dump(vm))

    def _dump(self, vm: str) -> None:
        client = self._make_client()
        if vm:
            client = self._make_client_of_vm(client, vm)
        state = client.get("/dump")
        print(json_module.dumps(state, indent=1, sort_keys=True))

    def _make_client_of_vm(self, client: AdminClient, vm: str) -> AdminClient:
        """Return a client for the daemon on ``vm``, looked up at ``client``.

        :raises CommandError: if the daemon asked does not know the VM.
        """
        known = client.get("/vms").get(vm)
        if known is None:
            reason = f"VM {vm} is not known to the daemon at {self._admin}"
            raise CommandError(ExitStatus.FAILED, reason, "List them with: vms")
        return AdminClient(known["admin_address"], read_token(self._token_file))

    def vms(self) -> Action:
        """Show the VMs with their service, state and admin address."""
        return Action(self._vms)

    def _vms(self) -> None:
        known = self._make_client().get("/vms")
        fields = ("failure_domain", "service", "state", "admin_address")
        rows = [(vm, *(known[vm][name] for name in fields)) for vm in sorted(known)]
        titles = ("VM", "FAILURE DOMAIN", "SERVICE", "STATE", "ADMIN ADDRESS")
        self._print_result(known, lambda: table(titles, rows))

    def teams(self) -> Action:
        """Show the teams with their rate, burst and number of keys."""
        return Action(self._teams)

    def _teams(self) -> None:
        config = self._make_client().get("/config")
        owners = [key["team"] for key in config["keys"]]
        teams = [
            {"team": name, **team, "keys": owners.count(name)}
            for name, team in sorted(config["teams"].items())
        ]
        head = ("TEAM", "RATE (CALLS/S)", "BURST (CALLS)", "KEYS")
        rows = [
            (team["team"], f"{team['rate_per_s']:g}", team["burst_calls"], team["keys"])
            for team in teams
        ]
        self._print_result(teams, lambda: table(head, rows))

    def history(self) -> Action:
        """Show the most recent changes, newest first."""
        return Action(self._history)

    def _history(self) -> None:
        config = self._make_client().get("/config")
        newest = config["version"]
        changes = [
            {"version": newest - offset, "plan_id": change_id}
            for offset, change_id in enumerate(reversed(config["change_ids"]))
        ]
        rows = [(change["version"], change["plan_id"]) for change in changes]
        self._print_result(
            changes, lambda: table(("VERSION", "PLAN (TIME IN UTC)"), rows)
        )


def _format_confirmation(reply: dict[str, Any], progress: Progress, note: str) -> str:
    done = "Accepted" if reply["result"] == "applied" else "Already accepted"
    if progress.is_complete:
        return (
            f"{done} as version {reply['version']} and in force at all "
            f"{progress.known_daemons} daemons."
        )
    return f"{done} as version {reply['version']}. {progress}.\n{note}"


def _parse_wait_s(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1
    if 0 <= seconds <= 3600:
        return seconds
    reason = f"--wait-s is {text}; allowed: a number from 0 to 3600"
    raise CommandError(ExitStatus.USAGE, reason)


def _parse_wall_ms(text: str) -> int:
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        reason = f"--start is {text}; allowed: a time like 2026-01-31T06:00:00Z"
        raise CommandError(ExitStatus.USAGE, reason) from None
    if moment.tzinfo is None:
        reason = f"--start is {text}, without a time zone; allowed: Z or a UTC offset"
        raise CommandError(ExitStatus.USAGE, reason)
    return int(moment.astimezone(UTC).timestamp() * 1000)
