"""Text output of the commands: tables, plans and the status."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Format rows under a header, padding each column to its widest cell."""
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def plan_text(plan: Mapping[str, Any]) -> str:
    """Format a plan for review."""
    return "\n".join(_format_plan_lines(plan))


def _format_plan_lines(plan: Mapping[str, Any]) -> Iterator[str]:
    yield f"Plan {plan['plan_id']} against version {plan['base_version']}"
    yield ""
    yield "Changes:" if plan["changes"] else "No changes."
    yield from change_lines(plan["changes"])
    for name in ("warnings", "refusals"):
        if plan[name]:
            yield ""
            yield f"{name.capitalize()}:"
            yield from (f"- {text}" for text in plan[name])


def change_lines(changes: Iterable[Mapping[str, Any]]) -> Iterator[str]:
    """Yield two lines for each change: what changes, and where."""
    for change in changes:
        yield f"- {change['what']}"
        yield f"    at: {change['where']}"


def status_text(status: Mapping[str, Any]) -> str:
    """Format the state of the daemon asked and of the fleet it knows."""
    return "\n".join(_format_status_lines(status))


def _format_status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    rows = [
        ("daemon asked", status.get("vm", "not known")),
        ("configuration version", status.get("config_version", "not known")),
        ("configuration is fresh", _format_bool(status.get("is_fresh"))),
        ("store reachable", _format_bool(status.get("store_reached"))),
    ]
    yield table(("STATE", "VALUE"), rows)
    fleet = status.get("fleet") or {}
    counts = fleet.get("counts") or []
    if counts:
        yield ""
        rows = [(count["version"], count["daemons"]) for count in counts]
        yield table(("VERSION", "DAEMONS"), rows)
    if fleet.get("lagging"):
        yield "Not yet at the newest version: " + ", ".join(fleet["lagging"])
    if fleet.get("lost"):
        yield "Recently lost, may still serve: " + ", ".join(fleet["lost"])
    if status.get("store_reached") is False:
        yield ""
        yield (
            "The store is unreachable: plans can be made but not confirmed, and "
            "daemons may have a newer version than the one shown."
        )
    if status.get("is_fresh") is False:
        yield "The configuration is stale: this daemon refuses keyed requests."


def _format_bool(value: Any) -> str:
    if value is None:
        return "not known"
    return "yes" if value else "no"
