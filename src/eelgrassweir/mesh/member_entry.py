"""Decode the member entry of a daemon, which anyone may have written.

``directory`` merges the decoded entries.
"""

from collections.abc import Collection

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from eelgrassweir.decoding import MalformedValue, require_address
from eelgrassweir.errors import StepError
from eelgrassweir.proto.control_pb2 import DRAINING, READY, Member
from eelgrassweir.store.items import Item

MEMBER_PREFIX = "members/"
MAX_VALUE_BYTES = 4_096
MAX_SLOTS = 1_000_000
# Above all revisions of an era.
ERA_STRIDE = 2**44
# State of a daemon in its own entry; others are marked down by their readers.
VALID_STATES = (READY, DRAINING)


def member_key(vm: str) -> str:
    """Return the store key of the member entry of a daemon."""
    return MEMBER_PREFIX + vm


def decode_member(
    item: Item, failure_domains: Collection[str]
) -> Result[Member, StepError]:
    """Return the member in an entry of the store.

    An entry names no target unless it is that of the VM in its key, in one of
    the failure domains, with an address that can be connected to.
    """
    reason = _find_defect(item, failure_domains)
    if reason:
        return Failure(StepError("decode member entry", item.key, reason))
    member = Member.FromString(item.value)
    # The store's era and revision order the entries of one VM.
    member.started_ms = item.era * ERA_STRIDE + item.revision
    member.sequence = 0
    return Success(member)


def _find_defect(item: Item, failure_domains: Collection[str]) -> str:
    """Return why the entry cannot be used, empty if it can."""
    if len(item.value) > MAX_VALUE_BYTES:
        return f"value above {MAX_VALUE_BYTES} bytes"
    try:
        member = Member.FromString(item.value)
    except DecodeError:
        return "value is no member"
    if member_key(member.vm) != item.key:
        return "entry of another VM"
    if not member.incarnation or not member.service:
        return "no incarnation or no service"
    if member.state not in VALID_STATES or member.slots > MAX_SLOTS:
        return "state or slots out of range"
    if failure_domains and member.failure_domain not in failure_domains:
        return "unknown failure domain"
    try:
        require_address(member.link_address)
    except MalformedValue as error:
        return str(error)
    return ""
