"""Guard against daemons that do not start with the bounds of a deployment.

A deployment may give a bound as any number, or not at all.
"""

import asyncio
import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs
import pytest
from returns.result import Success

from eelgrassweir.mesh.app import MIN_WATCH_MS, compute_watch_ms
from eelgrassweir.settings.loader import check_settings_as
from eelgrassweir.settings.mesh_generated import FIELDS, MeshSettings
from testing.deploy.checkout import ROOT, Checkout, read_deploy_file
from testing.deploy.site import BOUNDS, Site, render_template
from testing.mesh.fleet import make_config_document, make_mesh_settings, make_route

# Field of the settings for each bound, and the value where there is none.
FIELDS_OF_BOUNDS = {
    "drain": ("drain_ms", 2_000),
    "gracePeriod": ("grace_s", 6),
    "revoke": ("revoke_ms", 604_800_000),
    "configApply": ("config_apply_ms", 2_000),
    "budgetRatio": ("budget_ratio", 0.2),
    "budgetSlack": ("budget_slack_calls", 0),
    "quotaWindow": ("quota_window_s", 5),
    "quotaOverage": ("quota_overage", 0),
    "quotaSlack": ("quota_slack_calls", 0),
    "coldOverage": ("cold_overage", 1),
    "coldSlack": ("cold_slack_calls", 0),
    "evacuation": ("evacuation_ms", 0),
}
ADDRESS = "127.0.0.1:7000"
SERVE_LIMIT_S = 20.0


def load_rendered(bounds: Mapping[str, float]) -> MeshSettings:
    """Return the settings that the template gives with these bounds."""
    fields: dict[str, Any] = {
        "nodeName": "vm-0",
        "zone": "a",
        "region": "r",
        "zones": {"a": "r"},
        "service": "notes",
        "appAddress": ADDRESS,
        "ip": "127.0.0.1",
        "internalPorts": [7000, 7015],
        "listen": dict.fromkeys(("inbound", "outbound", "ready", "control"), ADDRESS),
        "platform": {"address": ADDRESS},
        "bounds": dict(bounds),
    }
    template = ROOT / read_deploy_file()["roles"]["daemon"]["template"]
    document = json.loads(render_template(template.read_text(), fields))
    result = check_settings_as(MeshSettings, FIELDS, document)
    assert isinstance(result, Success), str(result.failure())
    settings: MeshSettings = result.unwrap()
    return settings


@pytest.mark.parametrize("value", [0, 0.25, 6.5, 2000.0, 2000.5, 604_800])
@pytest.mark.parametrize("bound", FIELDS_OF_BOUNDS)
def test_bound_may_be_any_number(bound: str, value: float) -> None:
    """Guard against a daemon that ends because a bound is a fraction."""
    settings = load_rendered({**BOUNDS, bound: value})
    assert getattr(settings, FIELDS_OF_BOUNDS[bound][0]) == value


def test_deployment_leaves_domains_by_load() -> None:
    """Guard against a template that leaves the stay share switched off."""
    assert load_rendered(BOUNDS).domain_spill


@pytest.mark.parametrize("bound", FIELDS_OF_BOUNDS)
def test_bound_may_be_missing(bound: str) -> None:
    """Guard against settings that are no JSON without a bound."""
    bounds = {name: value for name, value in BOUNDS.items() if name != bound}
    name, default = FIELDS_OF_BOUNDS[bound]
    assert getattr(load_rendered(bounds), name) == default


def test_watch_of_the_store_waits_also_without_time_to_apply() -> None:
    """Guard against calls to the store without a pause."""
    settings = make_mesh_settings("vm-0", "notes", ADDRESS)
    settings = attrs.evolve(settings, config_apply_ms=0.5)
    assert compute_watch_ms(settings) == MIN_WATCH_MS


@pytest.mark.parametrize(
    "bounds",
    [
        {},
        {name: value + 0.5 for name, value in BOUNDS.items()},
        dict.fromkeys(("drain", "gracePeriod", "configApply", "quotaWindow"), 0.5),
    ],
    ids=["none", "fractions", "below one"],
)
def test_site_serves_with_the_bounds(
    built: Checkout, tmp_path: pathlib.Path, bounds: Mapping[str, float]
) -> None:
    """Guard against a daemon that starts and does not serve."""

    async def scenario() -> None:
        site = Site(built, tmp_path, bounds=bounds)
        site.add_vm("a", "notes")
        site.add_vm("b", "lists")
        routes = [
            make_route("/a/", "notes", public=False),
            make_route("/b/", "lists", kind="unsafe", public=False),
        ]
        site.store.put("op/config", make_config_document(1, routes))
        try:
            await site.start_store()
            await site.start_daemons()
            await site.wait_until_served(["/a/1", "/b/1"], SERVE_LIMIT_S)
            assert not site.list_ended()
        finally:
            await site.stop()

    asyncio.run(scenario())
