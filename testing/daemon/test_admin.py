"""Guard against an admin listener without authentication or with leaks.

Also against wrong results of plans and confirms.
"""

import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

from eelgrassweir.config.document import dump_document, hash_key
from testing.config.documents import make_document
from testing.stand_ins.admin_daemon import AdminDaemon
from testing.stand_ins.store_process import StoreProcess

TOKEN = "right-token"
INTENT = {"teams": {"set": {"alfa": {"rate_per_s": 90}}}}


@pytest.fixture
def daemon(store: StoreProcess) -> Iterator[AdminDaemon]:
    daemon = AdminDaemon(store.url, token=TOKEN)
    text = dump_document(make_document()).decode()
    daemon.store.put("config/current", text, expect_revision=0).unwrap()
    daemon.refresh()
    yield daemon
    daemon.close()


def call(
    daemon: AdminDaemon, method: str, path: str, body: Any = None, token: str = TOKEN
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        method,
        f"http://{daemon.address}{path}",
        body=None if body is None else json.dumps(body),
        headers={"Authorization": f"Bearer {token}"},
        retries=False,
        timeout=10,
    )


@pytest.mark.parametrize("path", ["/metrics", "/dump", "/status", "/config", "/none"])
def test_every_path_but_health_needs_the_token(daemon: AdminDaemon, path: str) -> None:
    """Guard against a path that is served without authentication."""
    assert call(daemon, "GET", path, token="wrong").status == 401
    assert call(daemon, "GET", path, token="").status == 401
    expected = 404 if path == "/none" else 200
    assert call(daemon, "GET", path).status == expected
    assert call(daemon, "GET", "/healthz", token="").status == 200


def test_wrong_method_and_invalid_body_are_errors(daemon: AdminDaemon) -> None:
    """Guard against invalid requests that are served or crash the listener."""
    assert call(daemon, "GET", "/plan").status == 405
    assert call(daemon, "POST", "/plan", ["x"]).status == 400
    assert call(daemon, "POST", "/plan").status == 400
    assert call(daemon, "POST", "/confirm", {"plan_id": "p"}).status == 400
    big = {"x": "y" * 5_000_000}
    assert call(daemon, "POST", "/plan", big).status == 413


def test_config_shows_key_ids_without_hashes(daemon: AdminDaemon) -> None:
    """Guard against key hashes that leave the daemon."""
    shown = call(daemon, "GET", "/config")
    assert shown.json()["keys"] == [{"key_id": "k1", "team": "alfa"}]
    assert hash_key("a-key") not in shown.data.decode()


def test_internal_error_does_not_show_its_message(daemon: AdminDaemon) -> None:
    """Guard against data that leaks in the message of an exception."""
    daemon.document = None
    answer = call(daemon, "GET", "/dump")
    assert answer.status == 500
    assert "AssertionError" in answer.json()["error"]["reason"]
    assert call(daemon, "GET", "/config").status == 503


def test_plan_is_applied_only_by_its_confirm(daemon: AdminDaemon) -> None:
    """Guard against a plan that changes the configuration by itself."""
    daemon.usage = {"alfa": 95.0}
    plan = call(daemon, "POST", "/plan", INTENT).json()
    assert any("above its new rate" in text for text in plan["warnings"])
    assert call(daemon, "GET", "/config").json()["version"] == 1
    reply = call(daemon, "POST", "/confirm", plan).json()
    assert (reply["result"], reply["version"]) == ("applied", 2)
    again = call(daemon, "POST", "/confirm", plan)
    assert (again.status, again.json()["result"]) == (200, "already_applied")
    assert call(daemon, "GET", "/config").json()["version"] == 2


def test_first_configuration_can_be_planned(store: StoreProcess) -> None:
    """Guard against a plan that needs an existing configuration."""
    daemon = AdminDaemon(store.url)
    intent = {"failure_domains": ["bilbao"]}
    plan = call(daemon, "POST", "/plan", intent).json()
    assert call(daemon, "POST", "/confirm", plan).json()["version"] == 1
    daemon.close()


def test_daemon_behind_the_plan_does_not_commit(
    daemon: AdminDaemon, store: StoreProcess
) -> None:
    """Guard against a commit on a base that the daemon does not know."""
    plan = call(daemon, "POST", "/plan", INTENT).json()
    daemon.document = None
    reply = call(daemon, "POST", "/confirm", plan)
    assert (reply.status, reply.json()["result"]) == (503, "behind")
    assert store.get_counts()["put"] == 1


def test_forged_base_does_not_commit(daemon: AdminDaemon, store: StoreProcess) -> None:
    """Guard against changes hidden in the base document of a plan."""
    plan = call(daemon, "POST", "/plan", INTENT).json()
    for name in ("base_document", "document"):
        plan[name]["teams"]["alfa"]["burst_calls"] = 9_999
    reply = call(daemon, "POST", "/confirm", plan)
    assert (reply.status, reply.json()["result"]) == (409, "refused")
    assert store.get_counts()["put"] == 1


def test_address_in_use_is_an_error(daemon: AdminDaemon, store: StoreProcess) -> None:
    """Guard against a listener that fails to bind without an error."""
    port = daemon.address.rpartition(":")[2]
    with pytest.raises(OSError, match="in use"):
        AdminDaemon(store.url, port=int(port))


def test_process_that_exits_without_stop_does_not_hang() -> None:
    """Guard against listener threads that keep the process alive."""
    code = (
        "from testing.stand_ins.admin_daemon import AdminDaemon\n"
        "AdminDaemon('http://127.0.0.1:1')\n"
        "raise SystemExit(7)\n"
    )
    environment = {"PYTHONPATH": ":".join(sys.path)}
    ended = subprocess.run([sys.executable, "-c", code], env=environment, timeout=30)
    assert ended.returncode == 7


@pytest.mark.parametrize(
    ("module", "absent"),
    [
        ("eelgrassweir.daemon.admin", ("eelgrassweir.cli", "fire")),
        ("eelgrassweir", ("eelgrassweir.daemon", "eelgrassweir.cli", "asyncio")),
    ],
)
def test_import_loads_no_more_than_needed(module: str, absent: tuple[str, ...]) -> None:
    """Guard against imports with threads or unneeded packages."""
    code = (
        f"import sys, threading, {module}\n"
        f"assert not set(sys.modules) & set({absent!r})\n"
        "assert threading.active_count() == 1\n"
    )
    environment = {"PYTHONPATH": ":".join(sys.path)}
    subprocess.run([sys.executable, "-c", code], check=True, env=environment)
