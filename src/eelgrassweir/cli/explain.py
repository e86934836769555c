"""Find in log files why a request failed."""

import json
import pathlib
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import attrs

from eelgrassweir.cli.failure import CommandError, ExitStatus
from eelgrassweir.cli.show import table

REFUSED = "request:refused"
IN_FORCE = "config:in_force"
LEFT_OUT = "log:left_out"
# The newest of these holds until the next, however old it is.
STANDING = (IN_FORCE, "store:")
# What a daemon came to believe this long before a refusal may have led to it.
# The clocks of two daemons may differ by the second bound.
BELIEF_SPAN_S = 10.0
CLOCK_MARGIN_S = 1.0
MAX_BELIEFS = 40
# Beliefs that a refusal can rest on, by its code.
PREFIXES_BY_CODE: dict[str, tuple[str, ...]] = {
    "config_missing": ("store:", "daemon:"),
    "config_stale": ("store:",),
    "deadline_exceeded": ("member:", "backend:"),
    "draining": ("backend:", "daemon:"),
    "key_missing": (IN_FORCE,),
    "key_unknown": (IN_FORCE,),
    "no_target": ("member:", "backend:"),
    "outcome_unknown": ("member:", "backend:", "daemon:"),
    "overloaded": ("member:", "backend:"),
    "rate_exceeded": ("lending:", "member:gone"),
    "route_unknown": (IN_FORCE,),
}
_UNSHOWN = ("timestamp", "task_uuid", "task_level", "message_type", "request")


@attrs.frozen(kw_only=True)
class LogLine:
    """Hold one line of a daemon's log."""

    vm: str
    wall_s: float
    kind: str
    fields: dict[str, Any]


@attrs.frozen(kw_only=True)
class LogFile:
    """Hold the lines of one file and where it could not be read."""

    path: str
    lines: tuple[LogLine, ...]
    # Numbers of lines that are cut or no JSON objects.
    unreadable: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Explanation:
    """Hold the lines that led to the outcome of one request."""

    request: str
    # Lines that name the request, in the order of their times.
    path: tuple[LogLine, ...]
    # What the daemons on its path believed.
    beliefs: tuple[LogLine, ...]
    # Seconds in which a daemon on its path left lines out.
    left_out: tuple[LogLine, ...]
    outcome: str


def read_log(path: str) -> LogFile:
    """Return the lines of a log file.

    The VM is the one that the daemon named at its start; a file without a
    start is named by itself.

    :raises CommandError: if the file cannot be opened or holds no log line.
    """
    try:
        text = pathlib.Path(path).read_text(errors="replace")
    except OSError as error:
        reason = f"{path} cannot be read ({error.strerror})"
        raise CommandError(ExitStatus.USAGE, reason, "Name log files.") from None
    vm = pathlib.Path(path).stem
    lines, unreadable = [], []
    wall_s = 0.0
    for number, row in enumerate(text.splitlines(), start=1):
        fields = _decode(row)
        if fields is None:
            unreadable.append(number)
            continue
        kind = str(fields["message_type"])
        # The line that counts left-out lines has no time of its own.
        wall_s = float(fields.get("timestamp", wall_s))
        if kind == "daemon:start":
            vm = str(fields.get("vm", vm))
        lines.append(LogLine(vm=vm, wall_s=wall_s, kind=kind, fields=fields))
    if not lines:
        reason = f"{path} holds no line of a daemon's log"
        raise CommandError(ExitStatus.USAGE, reason, "Name log files.")
    return LogFile(path=path, lines=tuple(lines), unreadable=tuple(unreadable))


def explain(request: str, files: Sequence[LogFile]) -> Explanation:
    """Return what the logs say of a request.

    :raises CommandError: if no line names it.
    """
    lines = sorted(
        (line for file in files for line in file.lines), key=lambda line: line.wall_s
    )
    path = [line for line in lines if line.fields.get("request") == request]
    if not path:
        raise CommandError(
            ExitStatus.FAILED,
            f"no line names the request {request}",
            "log:left_out lines tell how many lines, those of requests that were "
            "served among them, were left out in a flood.",
        )
    vms = {line.vm for line in path} | {str(line.fields.get("peer")) for line in path}
    near = [line for line in lines if line.vm in vms]
    start_s, end_s = path[0].wall_s, path[-1].wall_s
    refusal = next((line for line in reversed(path) if line.kind == REFUSED), None)
    return Explanation(
        request=request,
        path=tuple(path),
        beliefs=tuple(_beliefs(near, refusal, start_s, end_s)),
        left_out=tuple(
            line
            for line in near
            if line.kind == LEFT_OUT
            and start_s <= line.wall_s <= end_s + CLOCK_MARGIN_S + 1.0
        ),
        outcome=_outcome(path[-1], refusal),
    )


def explanation_text(explanation: Explanation, files: Iterable[LogFile]) -> str:
    """Return an explanation for people."""
    parts = [f"Request {explanation.request}: {explanation.outcome}", ""]
    parts += [_lines_text(explanation.path), ""]
    if explanation.beliefs:
        parts += ["What the daemons on its path believed:"]
        parts += [_lines_text(explanation.beliefs), ""]
    if explanation.left_out:
        parts += ["Lines were left out near that time:"]
        parts += [_lines_text(explanation.left_out), ""]
    for file in files:
        if file.unreadable:
            count, first = len(file.unreadable), file.unreadable[0]
            parts.append(f"{file.path}: {count} lines not readable, first line {first}")
    return "\n".join(parts).rstrip()


def explanation_json(
    explanation: Explanation, files: Iterable[LogFile]
) -> dict[str, Any]:
    """Return an explanation as values that JSON can hold."""
    unreadable = {file.path: list(file.unreadable) for file in files if file.unreadable}
    return attrs.asdict(explanation) | {"unreadable_lines": unreadable}


def _decode(row: str) -> dict[str, Any] | None:
    try:
        fields = json.loads(row)
    except ValueError:
        return None
    if not isinstance(fields, dict) or "message_type" not in fields:
        return None
    is_timed = isinstance(fields.get("timestamp", 0.0), int | float)
    return fields if is_timed else None


def _beliefs(
    lines: Sequence[LogLine], refusal: LogLine | None, start_s: float, end_s: float
) -> list[LogLine]:
    """Return what was believed all the while, then what had just changed."""
    standing: dict[tuple[str, str], LogLine] = {}
    changes = []
    code = str(refusal.fields.get("code")) if refusal is not None else ""
    prefixes = PREFIXES_BY_CODE.get(code, ())
    for line in lines:
        if line.wall_s > end_s + CLOCK_MARGIN_S:
            break
        prefix = next((one for one in STANDING if line.kind.startswith(one)), None)
        if prefix is not None and (prefix == IN_FORCE or prefix in prefixes):
            standing[line.vm, prefix] = line
        elif line.kind.startswith(prefixes) and line.wall_s >= start_s - BELIEF_SPAN_S:
            changes.append(line)
    return [*standing.values(), *changes[-MAX_BELIEFS:]]


def _outcome(last: LogLine, refusal: LogLine | None) -> str:
    if refusal is None:
        return f"not refused; the last line is {last.kind} at {last.vm}"
    fields = refusal.fields
    run = "not run" if fields.get("not_run") else "it may have run"
    return (
        f"{fields.get('code')} ({run}), decided at step {fields.get('step')} of "
        f"{fields.get('peer')}: {fields.get('reason')}"
    )


def _lines_text(lines: Iterable[LogLine]) -> str:
    rows = [
        (_time(line.wall_s), line.vm, line.kind, _details(line.fields))
        for line in lines
    ]
    return table(("TIME", "VM", "EVENT", "DETAILS"), rows)


def _time(wall_s: float) -> str:
    moment = datetime.fromtimestamp(wall_s, UTC)
    return moment.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")


def _details(fields: dict[str, Any]) -> str:
    shown = {name: value for name, value in fields.items() if name not in _UNSHOWN}
    return ", ".join(f"{name}={value}" for name, value in shown.items())
