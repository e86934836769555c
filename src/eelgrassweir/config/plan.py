"""Plans: what an intent would change and where, with warnings and refusals.

A plan is made by a daemon, kept in a file by the operator and confirmed later.
"""

from collections.abc import Iterator, Mapping
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from eelgrassweir.config.check import (
    CheckError,
    check_fields,
    check_list,
    check_name,
    check_object,
    check_whole,
)
from eelgrassweir.config.describe import Change, describe_changes, format_time
from eelgrassweir.config.document import (
    KEPT_CHANGE_IDS,
    MAX_DOCUMENT_BYTES,
    MAX_WALL_MS,
    ConfigDocument,
    check_document,
    document_from_json,
    document_to_json,
    dump_document,
)
from eelgrassweir.config.intent import apply_intent, parse_intent
from eelgrassweir.errors import StepError

# A planned stop ends long before this. The next change removes its entry, so
# that the document does not grow.
STOP_KEPT_MS = 24 * 3_600_000


@attrs.frozen(kw_only=True)
class PlanContext:
    """Load and targets on which the warnings of a plan are based.

    ``usage`` is the calls per second of each team over the last minute.
    ``targets`` is the service of each VM that is ready now.
    """

    usage: Mapping[str, float] = attrs.field(factory=dict)
    targets: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Plan:
    """One plan; its id becomes the change id of its commit."""

    plan_id: str
    base_version: int
    made_wall_ms: int
    intent: Any
    base_document: ConfigDocument
    document: ConfigDocument
    changes: tuple[Change, ...]
    warnings: tuple[str, ...]
    refusals: tuple[str, ...]


def make_plan(
    intent: Any,
    base: ConfigDocument,
    *,
    plan_id: str,
    now_wall_ms: int,
    plan_context: PlanContext,
) -> Result[Plan, StepError]:
    """Return the plan that applies ``intent`` to ``base``.

    Fails if the intent does not have the form that ``config.intent``
    describes. The plan's refusals list what cannot be applied.
    """
    try:
        checked = parse_intent(intent)
        check_name(plan_id, "plan_id")
    except CheckError as error:
        return Failure(StepError("read intent", "intent", str(error)))
    wanted, refusals = apply_intent(base, checked)
    changes = describe_changes(base, wanted)
    if not changes and not refusals:
        refusals.append("the intent changes nothing")
    document = _make_successor(_remove_old_stops(wanted, now_wall_ms), plan_id)
    refusals.extend(_find_faults(base, document))
    refusals.extend(
        f"the stop of {vm} at {format_time(stop.start_wall_ms)} is over; "
        "allowed: a start in the last 24 hours or later"
        for vm, stop in wanted.stops.items()
        if vm in checked.set_stops and vm not in document.stops
    )
    return Success(
        Plan(
            plan_id=plan_id,
            base_version=base.version,
            made_wall_ms=now_wall_ms,
            intent=intent,
            base_document=base,
            document=document,
            changes=tuple(describe_changes(base, document)),
            warnings=tuple(_warnings(base, document, now_wall_ms, plan_context)),
            refusals=tuple(refusals),
        )
    )


def _remove_old_stops(document: ConfigDocument, now_wall_ms: int) -> ConfigDocument:
    kept = {
        vm: stop
        for vm, stop in document.stops.items()
        if stop.start_wall_ms + STOP_KEPT_MS > now_wall_ms
    }
    return attrs.evolve(document, stops=kept)


def _make_successor(document: ConfigDocument, plan_id: str) -> ConfigDocument:
    kept = document.change_ids[-(KEPT_CHANGE_IDS - 1) :]
    return attrs.evolve(
        document, version=document.version + 1, change_ids=(*kept, plan_id)
    )


def _find_faults(base: ConfigDocument, document: ConfigDocument) -> Iterator[str]:
    try:
        check_document(document)
    except CheckError as error:
        yield str(error)
    if base.failure_domains and not document.failure_domains:
        yield "failure_domains is empty; allowed: at least one failure domain"
    size_bytes = len(dump_document(document))
    if size_bytes > MAX_DOCUMENT_BYTES:
        yield f"the document has {size_bytes} bytes; allowed: {MAX_DOCUMENT_BYTES}"


def _warnings(
    base: ConfigDocument,
    document: ConfigDocument,
    now_wall_ms: int,
    plan_context: PlanContext,
) -> Iterator[str]:
    yield from _team_warnings(base, document, plan_context.usage)
    yield from _key_warnings(base, document, plan_context.usage)
    yield from _route_warnings(base, document)
    if base.failure_domains and base.failure_domains != document.failure_domains:
        yield (
            "the shares of all teams change; teams may get less than their rate "
            "until all share holders have the change"
        )
    yield from _stop_warnings(base, document, now_wall_ms, plan_context.targets)


def _team_warnings(
    base: ConfigDocument, document: ConfigDocument, usage: Mapping[str, float]
) -> Iterator[str]:
    for name in sorted(base.teams.keys() - document.teams.keys()):
        if usage.get(name, 0) > 0:
            yield f"team {name} is removed and makes {usage[name]:.3g} calls/s now"
    domains = len(document.failure_domains)
    for name, team in sorted(document.teams.items()):
        is_same = base.teams.get(name) == team
        if is_same and base.failure_domains == document.failure_domains:
            continue
        if usage.get(name, 0) > team.rate_per_s:
            yield (
                f"team {name} makes {usage[name]:.3g} calls/s now, above its new "
                f"rate of {team.rate_per_s:g}"
            )
        if team.burst_calls < domains:
            yield (
                f"team {name} has a burst of {team.burst_calls} calls for {domains} "
                "failure domains; some domains get less than one call of it"
            )


def _key_warnings(
    base: ConfigDocument, document: ConfigDocument, usage: Mapping[str, float]
) -> Iterator[str]:
    teams_with_keys = {key.team for key in document.keys.values()}
    for digest in sorted(base.keys.keys() - document.keys.keys()):
        key = base.keys[digest]
        if usage.get(key.team, 0) > 0:
            yield (
                f"key {key.key_id} is withdrawn and its team {key.team} made calls "
                "in the last minute; calls with this key are refused"
            )
        if key.team in document.teams and key.team not in teams_with_keys:
            yield f"team {key.team} has no key left"


def _route_warnings(base: ConfigDocument, document: ConfigDocument) -> Iterator[str]:
    old = {route.name: route for route in base.routes}
    for route in document.routes:
        before = old.pop(route.name, None)
        if route.is_open and (before is None or not before.is_open):
            yield f"route {route.name} becomes open: anybody may call it without a key"
        if before is not None and route.idempotent and not before.idempotent:
            yield (
                f"route {route.name} becomes idempotent: its requests may run more "
                "than once"
            )
    for route in old.values():
        yield (
            f"route {route.name} is removed; requests for {route.path_prefix} are "
            "refused, or follow a route with a shorter prefix"
        )


def _stop_warnings(
    base: ConfigDocument,
    document: ConfigDocument,
    now_wall_ms: int,
    targets: Mapping[str, str],
) -> Iterator[str]:
    stopping = set(document.stops)
    for vm, stop in sorted(document.stops.items()):
        if base.stops.get(vm) == stop:
            continue
        if stop.start_wall_ms < now_wall_ms:
            start = format_time(stop.start_wall_ms)
            yield f"the stop of {vm} starts at once: its time {start} has passed"
        service = targets.get(vm)
        if service is None:
            yield f"{vm} is not known as a ready VM now; check its name"
            continue
        remaining = [
            other
            for other, other_service in targets.items()
            if other_service == service and other not in stopping
        ]
        if not remaining:
            yield f"{vm} is the last target of {service}; {service} will have none left"


def plan_to_json(plan: Plan) -> dict[str, Any]:
    """Return the plan as JSON values."""
    return {
        "plan_id": plan.plan_id,
        "base_version": plan.base_version,
        "made_wall_ms": plan.made_wall_ms,
        "intent": plan.intent,
        "base_document": document_to_json(plan.base_document),
        "document": document_to_json(plan.document),
        "changes": [attrs.asdict(change) for change in plan.changes],
        "warnings": list(plan.warnings),
        "refusals": list(plan.refusals),
    }


def plan_from_json(value: Any) -> Result[Plan, StepError]:
    """Return the plan, made again from its intent and base document.

    Fails if the result differs from the plan's own document, so that a
    damaged or edited plan is never committed.
    """
    try:
        given = check_fields(value, "plan", _PLAN_FIELDS, ())
        base = document_from_json(given["base_document"])
        base_version = check_whole(
            given["base_version"], "plan.base_version", base.version, base.version
        )
        made_ms = check_whole(
            given["made_wall_ms"], "plan.made_wall_ms", 0, MAX_WALL_MS
        )
        plan_id = check_name(given["plan_id"], "plan.plan_id")
        check_object(given["document"], "plan.document")
        check_list(given["refusals"], "plan.refusals")
    except CheckError as error:
        return Failure(StepError("read plan", "plan", str(error)))
    assert base_version == base.version
    made = make_plan(
        given["intent"],
        base,
        plan_id=plan_id,
        now_wall_ms=made_ms,
        plan_context=PlanContext(),
    )
    return made.bind(lambda plan: _compare_documents(plan, given["document"]))


_PLAN_FIELDS = (
    "plan_id",
    "base_version",
    "made_wall_ms",
    "intent",
    "base_document",
    "document",
    "changes",
    "warnings",
    "refusals",
)


def _compare_documents(plan: Plan, document: Any) -> Result[Plan, StepError]:
    if document_to_json(plan.document) == document:
        return Success(plan)
    reason = "its document does not follow from its intent and base; make a new plan"
    return Failure(StepError("read plan", "plan", reason))
