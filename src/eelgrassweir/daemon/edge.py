"""One side of a stream between two daemons of the control plane."""

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

# Merging an entry takes about 20 us, and requests wait meanwhile.
MEMBERS_PER_MESSAGE = 100
KEPT_BEATS = 8

CHILD = "child"
PARENT = "parent"
RELAY = "relay"


Lookup = Callable[[str], Member | None]


class Edge:
    """Hold what is to be sent on one stream and what came from its peer.

    VMs wait here by name and their entry is looked up when it is sent, so a
    slow peer costs one name a VM at most and gets the newest entry.
    """

    def __init__(self, role: str, *, is_caller: bool, entry: Lookup) -> None:
        self.role = role
        self.is_caller = is_caller
        self.vm = ""
        self.incarnation = ""
        self.address = ""
        self.is_attached = False
        self.has_sent_sender = False
        self.redirect: Sequence[str] | None = None
        self.peer_version = 0
        self.peer_heartbeat: RelayBeat | None = None
        self.ticks_since_message = 0
        self.ticks_since_heartbeat = 0
        # Sent with the first message of a stream that this side opened.
        self.attach: Attach | None = None
        self.close_cause = ""
        self.closed = asyncio.Event()
        self._wake = asyncio.Event()
        self._entry = entry
        # Used as an ordered set.
        self._vms: dict[str, None] = {}
        self._relay_beats: dict[str, RelayBeat] = {}
        self._path: Sequence[str] | None = None
        self._digests: Sequence[int] = ()
        self._config: list[ConfigUpdate] = []
        self._beat = 0
        self._is_beat_due = False
        self._heard_beat = 0
        self._sent_ms: dict[int, float] = {}
        self._said_beat: RelayBeat | None = None

    def close(self, cause: str) -> None:
        """End the stream; the first cause is kept."""
        if not self.closed.is_set():
            self.close_cause = cause
            self.closed.set()

    async def wait(self) -> None:
        """Wait until there is something to send."""
        await self._wake.wait()
        self._wake.clear()

    def wake(self) -> None:
        """Send what waits."""
        self._wake.set()

    def add_vms(self, vms: Iterable[str]) -> None:
        """Queue the entries of VMs."""
        self._vms.update(dict.fromkeys(vms))

    def has_queued_vms(self) -> bool:
        """Tell whether entries wait."""
        return bool(self._vms)

    def add_relay_heartbeats(self, beats: Iterable[RelayBeat]) -> None:
        """Queue beats for a daemon below."""
        for beat in beats:
            self._relay_beats[beat.vm] = beat

    def add_path(self, path: Sequence[str]) -> None:
        """Queue the path from the relay to this daemon."""
        self._path = tuple(path)

    def add_digests(self, digests: Sequence[int]) -> None:
        """Queue the digests of the member table."""
        self._digests = tuple(digests)

    def add_config(self, updates: Sequence[ConfigUpdate]) -> None:
        """Queue configuration updates that follow from each other."""
        if not updates:
            return
        self._config.extend(updates)
        self.peer_version = updates[-1].version

    def schedule_heartbeat(self) -> None:
        """Send a beat now."""
        self.ticks_since_heartbeat = 0
        self._is_beat_due = True
        self.wake()

    def record_received(self, message: Up | Down) -> float | None:
        """Record a message; return when the echoed beat was sent, if new."""
        self.ticks_since_message = 0
        if message.beat:
            self._heard_beat = message.beat
        sent_ms = self._sent_ms.get(message.echo) if message.echo else None
        for beat in [beat for beat in self._sent_ms if beat < message.echo]:
            del self._sent_ms[beat]
        return sent_ms

    def compress_relay_heartbeat(self, beat: RelayBeat) -> RelayBeat:
        """Return ``beat`` without the names that the peer knows already."""
        said, self._said_beat = self._said_beat, beat
        if said is None or _names(said) != _names(beat):
            return beat
        return RelayBeat(
            sequence=beat.sequence,
            config_version=beat.config_version,
            store_reached=beat.store_reached,
            store_age_ms=beat.store_age_ms,
        )

    def expand_relay_heartbeat(self, beat: RelayBeat) -> RelayBeat:
        """Return ``beat`` with the names that the peer left out."""
        if not beat.vm and self.peer_heartbeat is not None:
            whole = RelayBeat()
            whole.CopyFrom(self.peer_heartbeat)
            whole.sequence = beat.sequence
            whole.config_version = beat.config_version
            whole.store_reached = beat.store_reached
            whole.store_age_ms = beat.store_age_ms
            beat = whole
        self.peer_heartbeat = beat
        return beat

    def drain_up_messages(self, now_ms: float) -> tuple[list[Up], bool]:
        """Return the queued messages and whether the last is a beat."""
        ups = [Up(config=update) for update in self._drain_config()]
        last = ups[-1] if ups else Up()
        last.members.extend(self._drain_members())
        if self._digests:
            last.digests.extend(self._digests)
            self._digests = ()
        is_beat = self._stamp(last, now_ms)
        if not ups and last.ByteSize():
            ups.append(last)
        if self.attach is not None and ups:
            ups[0].attach.CopyFrom(self.attach)
            self.attach = None
        return ups, is_beat

    def drain_down_messages(self, now_ms: float) -> tuple[list[Down], bool]:
        """Return the queued messages and whether the last is a beat."""
        downs = [Down(config=update) for update in self._drain_config()]
        last = downs[-1] if downs else Down()
        last.members.extend(self._drain_members())
        if self._digests:
            last.digests.extend(self._digests)
            self._digests = ()
        if self._path is not None:
            last.path.CopyFrom(Path(vms=self._path))
            self._path = None
        last.relay_beats.extend(self._relay_beats.values())
        self._relay_beats.clear()
        is_beat = self._stamp(last, now_ms)
        if not downs and (last.ByteSize() or last.HasField("path")):
            downs.append(last)
        return downs, is_beat

    def _stamp(self, message: Up | Down, now_ms: float) -> bool:
        if not self._is_beat_due:
            return False
        self._is_beat_due = False
        self._beat += 1
        message.beat = self._beat
        message.echo = self._heard_beat
        self._sent_ms[self._beat] = now_ms
        if len(self._sent_ms) > KEPT_BEATS:
            del self._sent_ms[min(self._sent_ms)]
        return True

    def _drain_config(self) -> Sequence[ConfigUpdate]:
        updates, self._config = self._config, []
        return updates

    def _drain_members(self) -> Sequence[Member]:
        """Return the next entries; the rest leaves with the next message."""
        vms = list(itertools.islice(self._vms, MEMBERS_PER_MESSAGE))
        for vm in vms:
            del self._vms[vm]
        if self._vms:
            self.wake()
        entries = (self._entry(vm) for vm in vms)
        return [entry for entry in entries if entry is not None]


def _names(beat: RelayBeat) -> tuple[str, str, str, str, str, bool]:
    return (
        beat.vm,
        beat.incarnation,
        beat.failure_domain,
        beat.control_address,
        beat.holds_shares_of,
        beat.stepped_down,
    )
