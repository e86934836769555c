"""Know the failure domains that the operator has evacuated.

``app`` applies the changes of the store; ``dispatch`` and ``target`` read the
state.
"""

from collections.abc import Callable

from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.store.items import Change, Item, Snapshot

BEGAN_MESSAGE_TYPE = "evacuation:began"
ENDED_MESSAGE_TYPE = "evacuation:ended"


class Evacuations:
    """Hold the evacuated failure domains, as the store lists them.

    A store restored from a copy may have lost the key of an evacuation. It
    stays in force for ``grace_ms``, in which the operator writes it again.
    ``on_end`` is called with each domain whose evacuation ends.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        prefix: str,
        grace_ms: float,
        on_end: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._prefix = prefix
        self._grace_ms = grace_ms
        self._on_end = on_end
        self._era: int | None = None
        self.domains: frozenset[str] = frozenset()
        # Time at which the evacuations end whose keys a restored store lacks.
        self._expires_ms: dict[str, float] = {}

    def is_known(self) -> bool:
        """Return whether the store has been read since the start."""
        return self._era is not None

    def is_evacuated(self, domain: str) -> bool:
        """Return whether no request may reach a target of a domain."""
        return domain in self.domains

    def is_key(self, key: str) -> bool:
        """Return whether a key of the store stands for an evacuation."""
        return key.startswith(self._prefix)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Follow all keys of the store."""
        is_restored = self._era is not None and snapshot.era > self._era
        self._era = snapshot.era
        listed = {
            item.key[len(self._prefix) :]
            for item in snapshot.items
            if self.is_key(item.key)
        }
        for domain in sorted(listed):
            self._begin(domain, snapshot.revision)
        for domain in sorted(self.domains - listed):
            if is_restored:
                expires_ms = self._clock.now_ms() + self._grace_ms
                self._expires_ms[domain] = expires_ms
            elif domain not in self._expires_ms:
                self._end(domain, "removed")

    def apply_change(self, change: Change) -> None:
        """Follow a change of one key."""
        domain = change.key[len(self._prefix) :]
        if isinstance(change, Item):
            self._begin(domain, change.revision)
        else:
            self._end(domain, "removed")

    def expire(self) -> None:
        """End evacuations that a restored store has not shown again."""
        now_ms = self._clock.now_ms()
        for domain, expires_ms in list(self._expires_ms.items()):
            if now_ms >= expires_ms:
                self._end(domain, "lost in a restore of the store")

    def _begin(self, domain: str, revision: int) -> None:
        self._expires_ms.pop(domain, None)
        if domain in self.domains:
            return
        self.domains |= {domain}
        log_message(
            message_type=BEGAN_MESSAGE_TYPE, failure_domain=domain, revision=revision
        )

    def _end(self, domain: str, reason: str) -> None:
        self._expires_ms.pop(domain, None)
        if domain not in self.domains:
            return
        self.domains -= {domain}
        log_message(
            message_type=ENDED_MESSAGE_TYPE, failure_domain=domain, reason=reason
        )
        self._on_end(domain)
