"""Guard against plans that hide a change, a risk or an impossible step."""

from typing import Any

import attrs
import pytest
from returns.result import Failure, Success

from eelgrassweir.config.document import ConfigDocument, Stop, hash_key
from eelgrassweir.config.plan import (
    STOP_KEPT_MS,
    Plan,
    PlanContext,
    make_plan,
    plan_from_json,
    plan_to_json,
)
from testing.config.documents import make_document

NOW_MS = 1_700_000_000_000
PLAN_CONTEXT = PlanContext(
    usage={"alfa": 80.0}, targets={"vm-1": "fichero", "vm-2": "fichero"}
)


def make_test_plan(intent: Any, base: ConfigDocument | None = None) -> Plan:
    made: Plan = make_plan(
        intent,
        base or make_document(),
        plan_id="p1",
        now_wall_ms=NOW_MS,
        plan_context=PLAN_CONTEXT,
    ).unwrap()
    return made


def test_plan_changes_only_what_the_intent_names() -> None:
    """Guard against unnamed fields that are reset to defaults."""
    plan = make_test_plan({"teams": {"set": {"alfa": {"rate_per_s": 90}}}})
    assert plan.refusals == ()
    assert plan.document.version == 2
    assert plan.document.change_ids == ("c1", "p1")
    assert plan.document.teams["alfa"].burst_calls == 50
    assert [change.what for change in plan.changes] == [
        "team alfa: 100 calls/s, burst of 50 calls -> 90 calls/s, burst of 50 calls"
    ]
    assert "bilbao, santander" in plan.changes[0].where


@pytest.mark.parametrize(
    ("intent", "text"),
    [
        ({"teams": {"set": {"alfa": {"rate_per_s": 50}}}}, "above its new rate"),
        ({"teams": {"set": {"alfa": {"burst_calls": 1}}}}, "less than one call"),
        ({"keys": {"withdraw": ["k1"]}}, "made calls in the last minute"),
        ({"keys": {"withdraw": ["k1"]}}, "no key left"),
        ({"routes": {"set": {"all": {"open": True}}}}, "without a key"),
        ({"routes": {"remove": ["all"]}}, "is removed"),
        ({"failure_domains": ["bilbao"]}, "shares of all teams change"),
        ({"stops": {"set": {"vm-9": {"start_wall_ms": NOW_MS}}}}, "not known"),
        ({"stops": {"set": {"vm-1": {"start_wall_ms": NOW_MS - 1}}}}, "at once"),
        (
            {
                "stops": {
                    "set": {vm: {"start_wall_ms": NOW_MS} for vm in ("vm-1", "vm-2")}
                }
            },
            "last target of fichero",
        ),
    ],
)
def test_dangerous_change_has_a_warning(intent: Any, text: str) -> None:
    """Guard against operators who confirm a risk unknowingly."""
    plan = make_test_plan(intent)
    assert plan.refusals == ()
    assert any(text in warning for warning in plan.warnings), plan.warnings


@pytest.mark.parametrize(
    ("intent", "text"),
    [
        ({}, "changes nothing"),
        ({"teams": {"set": {"alfa": {"rate_per_s": 100}}}}, "changes nothing"),
        ({"teams": {"remove": ["bravo"]}}, "it does not exist"),
        ({"teams": {"remove": ["alfa"]}}, "a team of the document"),
        ({"teams": {"set": {"bravo": {"rate_per_s": 1}}}}, "burst_calls is missing"),
        ({"keys": {"withdraw": ["k9"]}}, "it does not exist"),
        (
            {"keys": {"grant": {hash_key("n"): {"key_id": "n", "team": "x"}}}},
            "team is x",
        ),
        (
            {"keys": {"grant": {hash_key("a-key"): {"key_id": "n", "team": "alfa"}}}},
            "already",
        ),
        ({"routes": {"set": {"all": {"class": "top"}}}}, "background, normal"),
        ({"failure_domains": []}, "at least one"),
        ({"stops": {"set": {"vm-1": {"start_wall_ms": 1}}}}, "is over"),
    ],
)
def test_impossible_change_is_refused(intent: Any, text: str) -> None:
    """Guard against plans that can be confirmed but not applied."""
    plan = make_test_plan(intent)
    assert any(text in refusal for refusal in plan.refusals), plan.refusals


@pytest.mark.parametrize(
    "intent",
    [
        [],
        {"team": {}},
        {"keys": {"grant": {"ew_key": 1}}},
        {"keys": {"withdraw": ["ew_key-longer-than-any-id-of-a-key"]}},
        {"keys": {"ew_key-longer-than-any-field-name": {}}},
    ],
)
def test_intent_of_another_form_is_an_error(intent: Any) -> None:
    """Guard against malformed intents, and keys in their errors."""
    result = make_plan(
        intent,
        make_document(),
        plan_id="p1",
        now_wall_ms=NOW_MS,
        plan_context=PLAN_CONTEXT,
    )
    assert isinstance(result, Failure)
    assert "ew_key" not in str(result.failure())


def test_document_size_stays_bounded() -> None:
    """Guard against change ids and past stops that accumulate."""
    base = attrs.evolve(
        make_document(),
        change_ids=tuple(f"c{number}" for number in range(64)),
        stops={"vm-1": Stop(vm="vm-1", start_wall_ms=NOW_MS - STOP_KEPT_MS)},
    )
    plan = make_test_plan({"teams": {"set": {"alfa": {"rate_per_s": 90}}}}, base)
    assert len(plan.document.change_ids) == 64
    assert plan.document.stops == {}
    assert any("stop of vm-1" in change.what for change in plan.changes)


def test_plan_is_unchanged_by_json_and_an_edited_one_is_refused() -> None:
    """Guard against a plan file edited after it was shown."""
    plan = make_test_plan({"teams": {"set": {"alfa": {"rate_per_s": 90}}}})
    given = plan_to_json(plan)
    read = plan_from_json(given)
    assert isinstance(read, Success)
    assert read.unwrap().document == plan.document
    given["document"]["teams"]["alfa"]["rate_per_s"] = 9_000
    assert isinstance(plan_from_json(given), Failure)
