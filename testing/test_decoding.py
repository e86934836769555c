"""Guard against bytes from outside that end a task instead of being refused.

The number of examples of each property is set by ``EELGRASSWEIR_EXAMPLES``.
"""

import asyncio
import base64
import json
import os
from typing import Any

import pytest
from hypothesis import given, seed, settings, strategies as st
from returns.result import Failure, Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.link_frames import FrameProtocol, encode_frame
from eelgrassweir.decoding import MalformedValue, parse_json, require_address
from eelgrassweir.errors import StepError
from eelgrassweir.mesh.member_entry import decode_member, member_key
from eelgrassweir.platform import messages
from eelgrassweir.platform.configuration import CONFIG_KEY, decode_config
from eelgrassweir.platform.store import PlatformStore
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import READY, Member
from eelgrassweir.requests.calls import MalformedMessage
from eelgrassweir.store.items import Changes, Conflict, Item, Lease, Snapshot
from testing.platform.test_configuration import DOCUMENT
from testing.platform.test_messages import HEARTBEAT, make_heartbeat

EXAMPLES = int(os.environ.get("EELGRASSWEIR_EXAMPLES", "60"))
DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
LONG_NUMBER = b"9" * 20_000
ODD_PAYLOADS = (
    b"",
    b"\xff\xfe",
    b"null",
    b"{",
    b"[]",
    b"3",
    b"NaN",
    b"1e999",
    LONG_NUMBER,
    DEEP,
    DEEP_OBJECT,
)
ODD_NUMBERS: tuple[Any, ...] = (
    "10",
    None,
    True,
    -1,
    1.5,
    float("inf"),
    float("nan"),
    2**63,
    -(2**70),
    10**4_000,
    [],
    {},
)
ODD_ADDRESSES: tuple[Any, ...] = (
    "",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:99999999999999999999",
    "10.0.0.1:８０",
    "host.example:80",
    ":80",
    "10.0.0.1:80:80",
    "10.0.0.999:80",
    7,
    None,
    ["10.0.0.1:80"],
)
any_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "safe"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
any_property = settings(max_examples=EXAMPLES, deadline=None, database=None)


def replace_at(document: Any, path: list[Any], value: Any) -> Any:
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = replace_at(copy[path[0]], path[1:], value)
    return copy


def list_paths(document: Any) -> list[list[Any]]:
    """Return the path of each value in a document."""
    entries: list[tuple[Any, Any]] = []
    if isinstance(document, dict):
        entries = list(document.items())
    elif isinstance(document, list):
        entries = list(enumerate(document))
    return [[]] + [[key, *path] for key, value in entries for path in list_paths(value)]


def is_result_of_config(payload: bytes) -> bool:
    """Return whether a payload gives a configuration or a typed error."""
    result: Result[Any, StepError] = decode_config(payload)
    if isinstance(result, Failure):
        return isinstance(result.failure(), StepError)
    return isinstance(result, Success)


@pytest.mark.parametrize("payload", ODD_PAYLOADS, ids=lambda value: str(value[:8]))
def test_odd_payloads_are_malformed_in_each_decoder(payload: bytes) -> None:
    """Guard against a decoder that raises on a payload of another writer.

    A deeply nested document raised RecursionError, which ended the task that
    follows the store.
    """
    assert isinstance(decode_config(payload), Failure)
    path = "/-/Instances.Heartbeat/i-1"
    message = messages.read_control_message(HttpRequest("POST", path, (), payload))
    assert isinstance(message, MalformedMessage)
    item = Item(key=member_key("v"), value=payload, revision=1, lease_id=0)
    assert isinstance(decode_member(item, ()), Failure)


@pytest.mark.parametrize(
    ("field", "number"),
    [
        (field, number)
        for field in ("slots", "sequence", "born")
        for number in ODD_NUMBERS
        # A heartbeat may lack the start.
        if (field, number) != ("born", None)
    ],
    ids=lambda value: str(value)[:8],
)
def test_heartbeat_with_a_number_out_of_range_is_malformed(
    field: str, number: Any
) -> None:
    """Guard against numbers that raise later, or that no later one exceeds."""
    body = json.dumps(HEARTBEAT | {field: number}).encode()
    request = HttpRequest("POST", "/-/Instances.Heartbeat/i-1", (), body)
    assert isinstance(messages.read_control_message(request), MalformedMessage)


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=str)
def test_address_that_cannot_be_connected_to_is_malformed(address: Any) -> None:
    """Guard against an OverflowError when a request is sent to the address."""
    with pytest.raises(MalformedValue):
        require_address(address)
    message = messages.read_control_message(make_heartbeat(address=address))
    assert isinstance(message, MalformedMessage)


@pytest.mark.parametrize(
    "changes",
    [
        {"vm": "other"},
        {"incarnation": ""},
        {"service": ""},
        {"state": 7},
        {"slots": 2**32 - 1},
        {"failure_domain": "elsewhere"},
        {"link_address": "10.0.0.1:65536"},
        {"link_address": "10.0.0.1:0"},
        {"link_address": "host.example:80"},
        {"incarnation": "x" * 5_000},
    ],
    ids=str,
)
def test_member_entry_with_an_odd_field_names_no_member(
    changes: dict[str, Any],
) -> None:
    """Guard against a target that another writer made up."""
    fields: dict[str, Any] = {
        "vm": "v",
        "incarnation": "1",
        "state": READY,
        "failure_domain": "a",
        "service": "notes",
        "slots": 10,
        "link_address": "10.0.0.1:80",
    }
    valid = Member(**fields).SerializeToString()
    item = Item(key=member_key("v"), value=valid, revision=5, lease_id=0)
    assert isinstance(decode_member(item, ("a", "b")), Success)
    odd = Member(**(fields | changes)).SerializeToString()
    item = Item(key=member_key("v"), value=odd, revision=5, lease_id=0)
    assert isinstance(decode_member(item, ("a", "b")), Failure)


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda value: str(value)[:8])
def test_odd_number_in_any_field_of_a_configuration_is_handled(number: Any) -> None:
    """Guard against a number that raises an error that is not expected."""
    for path in list_paths(DOCUMENT):
        payload = json.dumps(replace_at(DOCUMENT, path, number)).encode()
        assert is_result_of_config(payload)


@any_property
@seed(1)
@given(st.data())
def test_any_change_of_a_configuration_gives_a_value_or_an_error(
    data: st.DataObject,
) -> None:
    """Guard against a configuration field whose type is not checked."""
    path = data.draw(st.sampled_from(list_paths(DOCUMENT)))
    value = data.draw(any_json | st.sampled_from(ODD_NUMBERS))
    payload = json.dumps(replace_at(DOCUMENT, path, value)).encode()
    assert is_result_of_config(payload)


@any_property
@seed(2)
@given(st.binary(max_size=200))
def test_any_bytes_give_a_value_or_an_error(payload: bytes) -> None:
    """Guard against bytes that a decoder of the adapter or mesh raises on."""
    assert is_result_of_config(payload)
    for path in ("/-/Instances.Heartbeat/i-1", "/-/Instances.Deregister/i-1"):
        messages.read_control_message(HttpRequest("POST", path, (), payload))
    item = Item(key=member_key("v"), value=payload, revision=1, lease_id=0)
    assert isinstance(decode_member(item, ("a",)), Success | Failure)


@any_property
@seed(3)
@given(st.sampled_from(sorted(HEARTBEAT)), any_json)
def test_any_heartbeat_field_gives_a_message(field: str, value: Any) -> None:
    """Guard against a heartbeat field whose type is not checked."""
    body = json.dumps(HEARTBEAT | {field: value}).encode()
    request = HttpRequest("POST", "/-/Instances.Heartbeat/i-1", (), body)
    assert messages.read_control_message(request) is not None


@any_property
@seed(4)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ["X-Deadline-Milliseconds", "X-Request-Id", "X-Credential", "Host"]
            )
            | st.text(max_size=8),
            st.text(max_size=30),
        ),
        max_size=6,
    )
)
def test_any_headers_of_a_caller_are_decoded(headers: list[tuple[str, str]]) -> None:
    """Guard against a caller's header that the entry raises on."""
    request = HttpRequest("GET", "/a/", tuple(headers), b"")
    caller_request = messages.read_caller_request(request)
    remaining_ms = caller_request.remaining_ms
    assert remaining_ms is None or remaining_ms >= 0


class _Frames(FrameProtocol):
    """Collect the frames of a link."""

    def __init__(self) -> None:
        super().__init__(10_000, held=HeldBytes())
        self.frames: list[link_pb2.Frame] = []

    def frame_received(self, frame: link_pb2.Frame) -> None:
        self.frames.append(frame)


@any_property
@seed(5)
@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_on_a_link_are_frames_or_close_it(
    payload: bytes, is_framed: bool
) -> None:
    """Guard against a link whose decoder raises."""
    protocol = _Frames()
    if is_framed:
        payload = len(payload).to_bytes(4, "big") + payload
    protocol.data_received(payload)
    frame = link_pb2.Frame(pong=link_pb2.Pong(id=1))
    protocol.data_received(b"".join(encode_frame(frame)))


def make_entry(**changes: Any) -> dict[str, Any]:
    """Return an entry of the store's response with some fields changed."""
    entry = {
        "key": "members/v",
        "value": base64.b64encode(b"x").decode(),
        "revision": 4,
        "lease": 0,
    }
    return entry | changes


class _AnsweredStore(PlatformStore):
    """Store client whose exchanges return a given status and body."""

    def __init__(self, status: int, payload: bytes) -> None:
        super().__init__("127.0.0.1:1", clock=Clock(), timeout_ms=100)
        self._status = status
        self._payload = payload

    async def _exchange(self, *_args: Any, **_options: Any) -> HttpResponse:
        return HttpResponse(self._status, (), self._payload)


def run_calls(status: int, payload: bytes) -> list[object]:
    """Return what reads, watches and writes make of a response."""

    async def run() -> list[object]:
        store = _AnsweredStore(status, payload)
        outcomes: list[object] = []
        for call in (
            store.read_all,
            lambda: store.read("members/v", era=0),
            lambda: store.watch(1, 10, era=0),
            lambda: store.grant_lease(1_000),
            lambda: store.write(
                "k", b"", lease=Lease(era=0, lease_id=0), expected_revision=0
            ),
        ):
            try:
                outcomes.append(await call())
            except (StepError, Conflict) as error:
                outcomes.append(error)
        return outcomes

    return asyncio.run(run())


@pytest.mark.parametrize("payload", ODD_PAYLOADS, ids=lambda value: str(value[:8]))
def test_odd_answer_of_the_store_is_a_step_error(payload: bytes) -> None:
    """Guard against an answer of the store that ends the task that calls."""
    for outcome in run_calls(200, payload):
        assert isinstance(outcome, StepError)


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda value: str(value)[:8])
def test_odd_entry_of_the_store_costs_only_itself(number: Any) -> None:
    """Guard against one odd entry that hides the others from all daemons."""
    good = make_entry(key="members/w")
    for odd in (
        make_entry(revision=number),
        make_entry(key=number),
        make_entry(value=number),
        make_entry(value="no base64!"),
        number,
    ):
        if odd == make_entry(key="10") or odd == make_entry(value="10"):
            continue
        page = {
            "items": [odd, good],
            "events": [odd, good],
            "storeRevision": 9,
            "hasMore": False,
        }
        listed, _, watched, *_ = run_calls(200, json.dumps(page).encode())
        assert isinstance(listed, Snapshot)
        assert [item.key for item in listed.items] == ["members/w"]
        assert isinstance(watched, Changes)
        assert [change.key for change in watched.changes] == ["members/w"]


@any_property
@seed(6)
@given(st.sampled_from([200, 412]), st.data())
def test_any_answer_of_the_store_gives_a_value_or_an_error(
    status: int, data: st.DataObject
) -> None:
    """Guard against a field of the store's answers that is not checked."""
    page = {
        "items": [make_entry(), make_entry(key=CONFIG_KEY)],
        "events": [make_entry(), {"key": "members/v", "revision": 5, "removed": True}],
        "storeRevision": 9,
        "hasMore": False,
        "lease": 3,
        "revision": 9,
    }
    path = data.draw(st.sampled_from(list_paths(page)))
    value = data.draw(any_json | st.sampled_from(ODD_NUMBERS))
    payload = json.dumps(replace_at(page, path, value)).encode()
    assert len(run_calls(status, payload)) == 5


def test_number_of_thousands_of_digits_is_refused_quickly() -> None:
    """Guard against quadratic time for the text of a long number."""
    with pytest.raises(MalformedValue):
        parse_json(b'{"a":' + LONG_NUMBER + b"}")
