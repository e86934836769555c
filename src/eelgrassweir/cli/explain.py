"""Explanation of a failed request from the log files of daemons.

Used by the command ``explain``.
"""

import gzip
import json
import pathlib
import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import attrs

from eelgrassweir.cli.failure import CommandError, ExitStatus
from eelgrassweir.cli.show import table

REFUSED_MESSAGE_TYPE = "request:refused"
IN_FORCE_MESSAGE_TYPE = "config:in_force"
LEFT_OUT_MESSAGE_TYPE = "log:left_out"
# Log lines that report a state, which holds until the next line of the same
# prefix, however old it is.
STATE_PREFIXES = (IN_FORCE_MESSAGE_TYPE, "store:")
# Changes logged this long before a refusal may have caused it.
CHANGE_WINDOW_S = 10.0
# Tolerated difference between the wall clocks of two daemons.
CLOCK_MARGIN_S = 1.0
MAX_CHANGE_LINES = 40
# Prefixes of the log lines that can explain a refusal, by its code.
CAUSE_PREFIXES_BY_CODE: dict[str, tuple[str, ...]] = {
    "config_missing": ("store:", "daemon:"),
    "config_stale": ("store:",),
    "deadline_exceeded": ("member:", "backend:"),
    "draining": ("backend:", "daemon:"),
    "key_missing": (IN_FORCE_MESSAGE_TYPE,),
    "key_unknown": (IN_FORCE_MESSAGE_TYPE,),
    "no_target": ("member:", "backend:"),
    "outcome_unknown": ("member:", "backend:", "daemon:"),
    "overloaded": ("member:", "backend:"),
    "rate_exceeded": ("lending:", "member:gone"),
    "route_unknown": (IN_FORCE_MESSAGE_TYPE,),
}
_HIDDEN_FIELDS = ("timestamp", "task_uuid", "task_level", "message_type", "request")


@attrs.frozen(kw_only=True)
class LogLine:
    """Hold one line of a daemon's log; ``kind`` is its message type."""

    vm: str
    wall_s: float
    kind: str
    fields: dict[str, Any]


@attrs.frozen(kw_only=True)
class LogFile:
    """Hold the lines of one log file and which of them could not be parsed."""

    path: str
    lines: tuple[LogLine, ...]
    # Line numbers, from 1, of lines that are truncated or not log lines.
    unreadable_lines: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Explanation:
    """Hold the outcome of one request and the log lines that explain it."""

    request: str
    # Lines that name the request, ordered by time.
    path: tuple[LogLine, ...]
    # States and recent changes known to the daemons on its path.
    beliefs: tuple[LogLine, ...]
    # Reports of log lines that a daemon on its path dropped near that time.
    left_out: tuple[LogLine, ...]
    outcome: str


def read_log(path: str) -> LogFile:
    """Parse a daemon's log file.

    A line names its VM itself, so a file may hold the lines of many. The VM of
    lines that do not is taken from the last ``daemon:start`` line, or from the
    file's name. What a collector writes before a line is skipped. A path of
    ``-`` is the standard input, and a ``.gz`` file is decompressed.

    :raises CommandError: if the file cannot be read or holds no log line.
    """
    try:
        text = _read_text(path)
    except (OSError, EOFError) as error:
        reason = f"{path} cannot be read ({error})"
        raise CommandError(
            ExitStatus.USAGE, reason, "Name the log files of daemons."
        ) from None
    vm = pathlib.Path(path).stem
    lines, unreadable_lines = [], []
    wall_s = 0.0
    for number, row in enumerate(text.splitlines(), start=1):
        fields = _decode_line(row)
        if fields is None:
            unreadable_lines.append(number)
            continue
        kind = str(fields["message_type"])
        # log:left_out lines have no timestamp: use that of the line before.
        wall_s = float(fields.get("timestamp", wall_s))
        if kind == "daemon:start":
            vm = str(fields.get("vm", vm))
        line_vm = str(fields.pop("daemon", vm))
        lines.append(LogLine(vm=line_vm, wall_s=wall_s, kind=kind, fields=fields))
    if not lines:
        reason = f"{path} holds no log line of a daemon"
        raise CommandError(ExitStatus.USAGE, reason, "Name the log files of daemons.")
    return LogFile(
        path=path, lines=tuple(lines), unreadable_lines=tuple(unreadable_lines)
    )


def explain(request: str, files: Sequence[LogFile]) -> Explanation:
    """Find the path and the outcome of a request, and what explains them.

    :raises CommandError: if no line names the request.
    """
    lines = sorted(
        (line for file in files for line in file.lines), key=lambda line: line.wall_s
    )
    path = [line for line in lines if line.fields.get("request") == request]
    if not path:
        raise CommandError(
            ExitStatus.FAILED,
            f"no line names the request {request}",
            "log:left_out lines report how many lines were dropped while the daemon "
            "logged too many, lines of served requests included.",
        )
    vms = {line.vm for line in path} | {str(line.fields.get("peer")) for line in path}
    path_vm_lines = [line for line in lines if line.vm in vms]
    start_s, end_s = path[0].wall_s, path[-1].wall_s
    refusal = next(
        (line for line in reversed(path) if line.kind == REFUSED_MESSAGE_TYPE), None
    )
    return Explanation(
        request=request,
        path=tuple(path),
        beliefs=tuple(_collect_beliefs(path_vm_lines, refusal, start_s, end_s)),
        left_out=tuple(
            line
            for line in path_vm_lines
            if line.kind == LEFT_OUT_MESSAGE_TYPE
            and start_s <= line.wall_s <= end_s + CLOCK_MARGIN_S + 1.0
        ),
        outcome=_describe_outcome(path[-1], refusal),
    )


def explanation_text(explanation: Explanation, files: Iterable[LogFile]) -> str:
    """Format an explanation as text."""
    parts = [f"Request {explanation.request}: {explanation.outcome}", ""]
    parts += [_format_lines(explanation.path), ""]
    if explanation.beliefs:
        parts += ["State of the daemons on its path:"]
        parts += [_format_lines(explanation.beliefs), ""]
    if explanation.left_out:
        parts += ["Log lines were dropped near that time:"]
        parts += [_format_lines(explanation.left_out), ""]
    for file in files:
        if file.unreadable_lines:
            count, first = len(file.unreadable_lines), file.unreadable_lines[0]
            parts.append(
                f"{file.path}: {count} unreadable lines, the first is line {first}"
            )
    return "\n".join(parts).rstrip()


def explanation_json(
    explanation: Explanation, files: Iterable[LogFile]
) -> dict[str, Any]:
    """Return an explanation as a document for JSON output."""
    unreadable_lines = {
        file.path: list(file.unreadable_lines)
        for file in files
        if file.unreadable_lines
    }
    return attrs.asdict(explanation) | {"unreadable_lines": unreadable_lines}


def _read_text(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    if path.endswith(".gz"):
        with gzip.open(path, "rt", errors="replace") as file:
            return file.read()
    return pathlib.Path(path).read_text(errors="replace")


def _decode_line(row: str) -> dict[str, Any] | None:
    start = row.find("{")
    try:
        fields = json.loads(row[max(start, 0) :])
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict) or "message_type" not in fields:
        return None
    is_timed = isinstance(fields.get("timestamp", 0.0), int | float)
    return fields if is_timed else None


def _collect_beliefs(
    lines: Sequence[LogLine], refusal: LogLine | None, start_s: float, end_s: float
) -> list[LogLine]:
    """Return the states in force at the refusal, then the recent changes.

    Changes are limited to those that can explain the refusal's code.
    """
    latest_states: dict[tuple[str, str], LogLine] = {}
    changes = []
    code = str(refusal.fields.get("code")) if refusal is not None else ""
    prefixes = CAUSE_PREFIXES_BY_CODE.get(code, ())
    for line in lines:
        if line.wall_s > end_s + CLOCK_MARGIN_S:
            break
        prefix = next(
            (one for one in STATE_PREFIXES if line.kind.startswith(one)), None
        )
        if prefix is not None and (
            prefix == IN_FORCE_MESSAGE_TYPE or prefix in prefixes
        ):
            latest_states[line.vm, prefix] = line
        elif (
            line.kind.startswith(prefixes) and line.wall_s >= start_s - CHANGE_WINDOW_S
        ):
            changes.append(line)
    return [*latest_states.values(), *changes[-MAX_CHANGE_LINES:]]


def _describe_outcome(last: LogLine, refusal: LogLine | None) -> str:
    if refusal is None:
        return f"not refused; the last line is {last.kind} at {last.vm}"
    fields = refusal.fields
    run = "not run" if fields.get("not_run") else "it may have run"
    return (
        f"{fields.get('code')} ({run}), decided at step {fields.get('step')} of "
        f"{fields.get('peer')}: {fields.get('reason')}"
    )


def _format_lines(lines: Iterable[LogLine]) -> str:
    rows = [
        (_format_time(line.wall_s), line.vm, line.kind, _format_details(line.fields))
        for line in lines
    ]
    return table(("TIME", "VM", "EVENT", "DETAILS"), rows)


def _format_time(wall_s: float) -> str:
    moment = datetime.fromtimestamp(wall_s, UTC)
    return moment.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")


def _format_details(fields: dict[str, Any]) -> str:
    shown = {
        name: value for name, value in fields.items() if name not in _HIDDEN_FIELDS
    }
    return ", ".join(f"{name}={value}" for name, value in shown.items())
