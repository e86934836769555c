"""Guard against platform fields that are lost, leaked or decoded wrongly."""

import json
import pathlib
import re

import pytest

import eelgrassweir
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.platform import messages
from eelgrassweir.requests.calls import (
    Announcement,
    BackendFields,
    Deregistration,
    MalformedMessage,
    ResponseMatch,
)
from eelgrassweir.requests.refusal import STATUS_BY_CODE, Refusal

SOURCES = pathlib.Path(eelgrassweir.__file__).parent
WIRE_NAMES = (
    "storeRevision|allowStale|X-Credential|X-Caller-Service|X-Response-Signature"
    "|coldRemaining|trafficSplit|X-Tenant|X-Deadline-Milliseconds|kv-txn|apiKeys"
)
HEARTBEAT = {
    "service": "notes",
    "address": "10.0.0.1:80",
    "slots": 10,
    "state": "ready",
    "sequence": 4,
    "coldRemaining": 0,
    "born": 17,
}


def make_heartbeat(**changes: object) -> HttpRequest:
    """Return a heartbeat with some fields changed; None removes a field."""
    body = {k: v for k, v in (HEARTBEAT | changes).items() if v is not None}
    path = "/-/Instances.Heartbeat/i-1"
    return HttpRequest("POST", path, (), json.dumps(body).encode())


def test_key_and_forged_fields_are_not_forwarded() -> None:
    """Guard against a key or a forged tenant that reaches a backend server."""
    forged = ("X-CREDENTIAL", "x-tenant", "X-Caller-Service", "X-Expected-Instance")
    headers = (
        ("Host", "Notes.example:80"),
        ("Accept", "*/*"),
        *((name, "forged") for name in forged),
        ("X-Deadline-Milliseconds", "250"),
        ("X-Request-Id", "r1"),
    )
    decoded = messages.read_caller_request(HttpRequest("GET", "/", headers, b""))
    assert decoded.key == "forged"
    assert decoded.host == "notes.example"
    assert decoded.remaining_ms == 250.0
    fields = BackendFields(
        request_id="r1",
        remaining_ms=200,
        team="t",
        caller_service="c",
        expected_instance="i-1",
    )
    sent = dict(messages.make_backend_headers(decoded.headers, fields))
    assert sent == {
        "Host": "Notes.example:80",
        "Accept": "*/*",
        "X-Request-Id": "r1",
        "X-Deadline-Milliseconds": "200",
        "X-Caller-Service": "c",
        "X-Expected-Instance": "i-1",
        "X-Tenant": "t",
    }


@pytest.mark.parametrize("code", sorted(STATUS_BY_CODE))
@pytest.mark.parametrize("not_run", [False, True])
def test_status_says_not_run_only_if_the_refusal_does(code: str, not_run: bool) -> None:
    """Guard against a status that says "not run" after a possible run."""
    refusal = Refusal(code=code, not_run=not_run, reason="", step="", peer="")
    status = messages.make_refusal_response(refusal).status
    assert not_run or status not in (408, 421, 429, 503)


def test_heartbeat_is_decoded() -> None:
    """Guard against a heartbeat field that is decoded as another one."""
    assert messages.read_control_message(make_heartbeat()) == Announcement(
        instance="i-1",
        address="10.0.0.1:80",
        service="notes",
        slots=10,
        is_draining=False,
        started_wall_ms=17,
        sequence=4,
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"state": None},
        {"slots": "10"},
        {"slots": None},
        {"sequence": True},
        {"born": "17"},
        {"born": 1.5},
        {"address": ""},
        {"service": 7},
        {"coldRemaining": -1},
        {"coldRemaining": "9"},
    ],
)
def test_invalid_heartbeat_is_malformed(changes: dict[str, object]) -> None:
    """Guard against a target decoded from an invalid message."""
    assert isinstance(
        messages.read_control_message(make_heartbeat(**changes)), MalformedMessage
    )


def test_body_that_is_not_a_json_object_is_malformed() -> None:
    """Guard against an exception on a body that cannot be decoded."""
    path = "/-/Instances.Heartbeat/i-1"
    for body in (b"\xff", b"[]", b"3", b"{"):
        message = messages.read_control_message(HttpRequest("POST", path, (), body))
        assert isinstance(message, MalformedMessage)


def test_start_time_of_a_deregistration_is_optional() -> None:
    """Guard against ignoring a deregistration without a body."""
    path = "/-/Instances.Deregister/i-1"
    bare = messages.read_control_message(HttpRequest("POST", path, (), b""))
    dated = messages.read_control_message(HttpRequest("POST", path, (), b'{"born":3}'))
    assert bare == Deregistration(instance="i-1", started_wall_ms=None)
    assert dated == Deregistration(instance="i-1", started_wall_ms=3)


def test_response_to_another_request_does_not_match() -> None:
    """Guard against a late duplicate response taken for the next one."""
    request = HttpRequest("GET", "/", (("X-Request-Id", "r1"),), b"")
    own, other = (("x-request-id", "r1"),), (("X-Request-Id", "r0"),)
    assert messages.match_response(request, own) is ResponseMatch.OWN
    assert messages.match_response(request, other) is ResponseMatch.OTHER
    assert messages.match_response(request, ()) is ResponseMatch.UNKNOWN
    without_id = HttpRequest("GET", "/", (), b"")
    assert messages.match_response(without_id, own) is ResponseMatch.UNKNOWN


def test_response_without_signature_is_not_genuine() -> None:
    """Guard against a success that no backend server sent."""
    signed = ("X-Response-Signature", "s")
    assert messages.is_genuine(HttpResponse(200, (signed,), b""))
    assert not messages.is_genuine(HttpResponse(200, (), b""))
    coded = HttpResponse(200, (signed, ("Content-Encoding", "gzip")), b"")
    assert not messages.is_genuine(coded)


def test_platform_names_are_used_only_in_the_adapter() -> None:
    """Guard against wire names and imports that leak out of the adapter."""
    for path in SOURCES.rglob("*.py"):
        if path.is_relative_to(SOURCES / "platform"):
            continue
        text = path.read_text()
        assert not re.search(WIRE_NAMES, text, re.IGNORECASE), path
        if path != SOURCES / "mesh" / "main.py":
            assert "eelgrassweir.platform" not in text, path


@pytest.mark.parametrize(("sent", "cold_ms"), [(2_500, 2_500), (0, 0), (None, 0)])
def test_cold_time_of_a_heartbeat_is_decoded(sent: object, cold_ms: int) -> None:
    """Guard against a cold target that is taken as a warm one."""
    message = messages.read_control_message(make_heartbeat(coldRemaining=sent))
    assert isinstance(message, Announcement)
    assert message.cold_ms == cold_ms


@pytest.mark.parametrize(
    ("value", "cold_ms"),
    [
        ("2500", 2_500),
        ("0", 0),
        ("", None),
        ("-1", None),
        ("1.5", None),
        ("9" * 5_000, None),
    ],
)
def test_cold_time_of_a_health_response_is_decoded(
    value: str, cold_ms: int | None
) -> None:
    """Guard against an unknown state that is taken as warm."""
    headers = (("X-Cold-Milliseconds", value),)
    assert messages.read_cold_ms(HttpResponse(200, headers, b"")) == cold_ms
    assert messages.read_cold_ms(HttpResponse(200, (), b"")) is None
