"""Tables and sentences for people."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any


def table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows under a head, in columns of equal width."""
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(len(line[place]) for line in lines) for place in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def plan_text(plan: Mapping[str, Any]) -> str:
    """Return a plan for people to judge."""
    return "\n".join(_plan_lines(plan))


def _plan_lines(plan: Mapping[str, Any]) -> Iterator[str]:
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
    """Return two lines for each change: what it is, and where."""
    for change in changes:
        yield f"- {change['what']}"
        yield f"    at: {change['where']}"


def status_text(status: Mapping[str, Any]) -> str:
    """Return the state of the daemon asked and of the fleet it knows."""
    return "\n".join(_status_lines(status))


def _status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    rows = [
        ("daemon asked", status.get("vm", "not known")),
        ("configuration version", status.get("config_version", "not known")),
        ("configuration is fresh", _yes_no(status.get("is_fresh"))),
        ("store reached", _yes_no(status.get("store_reached"))),
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
        yield "Lost lately, may still serve: " + ", ".join(fleet["lost"])
    if status.get("store_reached") is False:
        yield ""
        yield (
            "The store is not reached: plans can be made but not confirmed, and "
            "daemons may have a newer version than the one shown."
        )
    if status.get("is_fresh") is False:
        yield "The configuration is stale: this daemon refuses keyed requests."


def _yes_no(value: Any) -> str:
    if value is None:
        return "not known"
    return "yes" if value else "no"
