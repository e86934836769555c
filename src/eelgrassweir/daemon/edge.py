"""State of one end of a stream between two daemons of the control plane.

Used by ``parent``, ``children`` and ``peers``; ``session`` runs the stream.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Sequence

from eelgrassweir.proto.control_pb2 import (
    Attach,
    ConfigUpdate,
    Down,
    Member,
    Path,
    RelayBeat,
    Up,
)

# Merging an entry takes about 20 us and blocks requests during that time.
MEMBERS_PER_MESSAGE = 100
MAX_TRACKED_HEARTBEATS = 8

CHILD = "child"
PARENT = "parent"
RELAY = "relay"


MemberLookup = Callable[[str], Member | None]


class Edge:
    """Queue what is to be sent on one stream and track what its peer sent.

    An edge connects two daemons of the control tree, or two relays. VMs are
    queued by name and their member entry is looked up when it is sent, so a
    slow peer costs at most one name per VM and gets the newest entry.

    :param role: role of the peer: ``CHILD``, ``PARENT`` or ``RELAY``.
    :param is_caller: whether this daemon opened the stream.
    :param find_member: returns the member entry of a VM, or None.
    """

    def __init__(
        self, role: str, *, is_caller: bool, find_member: MemberLookup
    ) -> None:
        self.role = role
        self.is_caller = is_caller
        self.vm = ""
        self.incarnation = ""
        self.address = ""
        self.is_attached = False
        # Whether a message with the identity of this daemon was sent.
        self.has_sent_sender = False
        # Control addresses to which the peer redirected this daemon.
        self.redirect: Sequence[str] | None = None
        # Newest configuration version that the peer has or will receive.
        self.peer_version = 0
        self.peer_heartbeat: RelayBeat | None = None
        self.ticks_since_message = 0
        self.ticks_since_heartbeat = 0
        # Sent in the first message of a stream that this end opened.
        self.attach: Attach | None = None
        self.close_cause = ""
        self.closed = asyncio.Event()
        self._wake = asyncio.Event()
        self._find_member = find_member
        # Names of VMs to be sent; used as an ordered set.
        self._vms: dict[str, None] = {}
        self._relay_heartbeats: dict[str, RelayBeat] = {}
        self._path: Sequence[str] | None = None
        self._digests: Sequence[int] = ()
        self._config: list[ConfigUpdate] = []
        # Heartbeats are numbered, and each echoes the last received number.
        self._last_sent_heartbeat = 0
        self._is_heartbeat_due = False
        self._last_received_heartbeat = 0
        self._heartbeat_sent_ms: dict[int, float] = {}
        self._sent_relay_heartbeat: RelayBeat | None = None

    def close(self, cause: str) -> None:
        """Close the stream; only the first cause is kept."""
        if not self.closed.is_set():
            self.close_cause = cause
            self.closed.set()

    async def wait(self) -> None:
        """Wait until there is something to send."""
        await self._wake.wait()
        self._wake.clear()

    def wake(self) -> None:
        """Wake the sender of queued messages."""
        self._wake.set()

    def add_vms(self, vms: Iterable[str]) -> None:
        """Queue the member entries of VMs."""
        self._vms.update(dict.fromkeys(vms))

    def has_queued_vms(self) -> bool:
        """Return whether member entries are queued."""
        return bool(self._vms)

    def add_relay_heartbeats(self, heartbeats: Iterable[RelayBeat]) -> None:
        """Queue heartbeats of relays for a child."""
        for heartbeat in heartbeats:
            self._relay_heartbeats[heartbeat.vm] = heartbeat

    def add_path(self, path: Sequence[str]) -> None:
        """Queue the path from the relay to this daemon."""
        self._path = tuple(path)

    def add_digests(self, digests: Sequence[int]) -> None:
        """Queue the digests of the member table."""
        self._digests = tuple(digests)

    def add_config(self, updates: Sequence[ConfigUpdate]) -> None:
        """Queue consecutive configuration updates."""
        if not updates:
            return
        self._config.extend(updates)
        self.peer_version = updates[-1].version

    def schedule_heartbeat(self) -> None:
        """Send a heartbeat with the next message, without delay."""
        self.ticks_since_heartbeat = 0
        self._is_heartbeat_due = True
        self.wake()

    def record_received(self, message: Up | Down) -> float | None:
        """Record a received message.

        Return when the heartbeat that it echoes was sent, in ms, or None if
        it echoes none or an older one than an earlier message.
        """
        self.ticks_since_message = 0
        if message.beat:
            self._last_received_heartbeat = message.beat
        sent_ms = self._heartbeat_sent_ms.get(message.echo) if message.echo else None
        for number in [
            number for number in self._heartbeat_sent_ms if number < message.echo
        ]:
            del self._heartbeat_sent_ms[number]
        return sent_ms

    def compress_relay_heartbeat(self, heartbeat: RelayBeat) -> RelayBeat:
        """Return ``heartbeat`` without the fields that the peer already has.

        These are the fields that name the relay; they rarely change.
        """
        previous, self._sent_relay_heartbeat = self._sent_relay_heartbeat, heartbeat
        if previous is None or _identity_fields(previous) != _identity_fields(
            heartbeat
        ):
            return heartbeat
        return RelayBeat(
            sequence=heartbeat.sequence,
            config_version=heartbeat.config_version,
            store_reached=heartbeat.store_reached,
            store_age_ms=heartbeat.store_age_ms,
        )

    def expand_relay_heartbeat(self, heartbeat: RelayBeat) -> RelayBeat:
        """Return ``heartbeat`` with the fields that the peer omitted."""
        if not heartbeat.vm and self.peer_heartbeat is not None:
            expanded = RelayBeat()
            expanded.CopyFrom(self.peer_heartbeat)
            expanded.sequence = heartbeat.sequence
            expanded.config_version = heartbeat.config_version
            expanded.store_reached = heartbeat.store_reached
            expanded.store_age_ms = heartbeat.store_age_ms
            heartbeat = expanded
        self.peer_heartbeat = heartbeat
        return heartbeat

    def drain_up_messages(self, now_ms: float) -> tuple[list[Up], bool]:
        """Return the queued messages and whether the last has a heartbeat."""
        messages = [Up(config=update) for update in self._drain_config()]
        last_message = messages[-1] if messages else Up()
        last_message.members.extend(self._drain_members())
        if self._digests:
            last_message.digests.extend(self._digests)
            self._digests = ()
        has_heartbeat = self._add_heartbeat(last_message, now_ms)
        if not messages and last_message.ByteSize():
            messages.append(last_message)
        if self.attach is not None and messages:
            messages[0].attach.CopyFrom(self.attach)
            self.attach = None
        return messages, has_heartbeat

    def drain_down_messages(self, now_ms: float) -> tuple[list[Down], bool]:
        """Return the queued messages and whether the last has a heartbeat."""
        messages = [Down(config=update) for update in self._drain_config()]
        last_message = messages[-1] if messages else Down()
        last_message.members.extend(self._drain_members())
        if self._digests:
            last_message.digests.extend(self._digests)
            self._digests = ()
        if self._path is not None:
            last_message.path.CopyFrom(Path(vms=self._path))
            self._path = None
        last_message.relay_beats.extend(self._relay_heartbeats.values())
        self._relay_heartbeats.clear()
        has_heartbeat = self._add_heartbeat(last_message, now_ms)
        if not messages and (last_message.ByteSize() or last_message.HasField("path")):
            messages.append(last_message)
        return messages, has_heartbeat

    def _add_heartbeat(self, message: Up | Down, now_ms: float) -> bool:
        """Add a heartbeat to ``message`` if due, and return whether it was."""
        if not self._is_heartbeat_due:
            return False
        self._is_heartbeat_due = False
        self._last_sent_heartbeat += 1
        message.beat = self._last_sent_heartbeat
        message.echo = self._last_received_heartbeat
        self._heartbeat_sent_ms[self._last_sent_heartbeat] = now_ms
        if len(self._heartbeat_sent_ms) > MAX_TRACKED_HEARTBEATS:
            del self._heartbeat_sent_ms[min(self._heartbeat_sent_ms)]
        return True

    def _drain_config(self) -> Sequence[ConfigUpdate]:
        updates, self._config = self._config, []
        return updates

    def _drain_members(self) -> Sequence[Member]:
        """Return the next member entries; the next message takes the rest."""
        vms = list(itertools.islice(self._vms, MEMBERS_PER_MESSAGE))
        for vm in vms:
            del self._vms[vm]
        if self._vms:
            self.wake()
        entries = (self._find_member(vm) for vm in vms)
        return [entry for entry in entries if entry is not None]


def _identity_fields(heartbeat: RelayBeat) -> tuple[str, str, str, str, str, bool]:
    return (
        heartbeat.vm,
        heartbeat.incarnation,
        heartbeat.failure_domain,
        heartbeat.control_address,
        heartbeat.holds_shares_of,
        heartbeat.stepped_down,
    )
