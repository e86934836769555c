"""Bodies that travel over a link in parts, between its other frames.

Neither end holds more of such a body than its one copy and the part on its
way, and other requests of the link do not wait behind it.
"""

from collections.abc import Callable

from eelgrassweir.daemon.http_message import Body
from eelgrassweir.proto import link_pb2

# Short enough that the frame of a part is not counted in the pool.
PART_BYTES = 16_000


class OutgoingBodies:
    """Bodies that this end sends, one part of each in turn.

    ``send`` sends a frame; ``can_send`` returns whether the peer takes more.
    """

    def __init__(
        self,
        *,
        send: Callable[[link_pb2.Frame], bool],
        can_send: Callable[[], bool],
    ) -> None:
        self._send = send
        self._can_send = can_send
        self._unsent: dict[int, memoryview] = {}

    def add(self, stream_id: int, body: Body) -> None:
        """Send a body behind its request."""
        self._unsent[stream_id] = memoryview(body)
        self.send_more()

    def is_unsent(self, stream_id: int) -> bool:
        """Return whether the peer cannot have the whole body."""
        return stream_id in self._unsent

    def discard(self, stream_id: int) -> None:
        """Send no more of a body."""
        self._unsent.pop(stream_id, None)

    def clear(self) -> None:
        """Drop all bodies; the connection has ended."""
        self._unsent.clear()

    def send_more(self) -> None:
        """Send parts until the peer takes no more."""
        while self._unsent and self._can_send():
            stream_id = next(iter(self._unsent))
            unsent = self._unsent.pop(stream_id)
            part = link_pb2.BodyPart(
                stream_id=stream_id, content=bytes(unsent[:PART_BYTES])
            )
            rest = unsent[PART_BYTES:]
            if rest:
                self._unsent[stream_id] = rest
            self._send(link_pb2.Frame(body_part=part))
