"""Framing of links: a big-endian length of 4 bytes, then a protobuf frame."""

import asyncio
import struct
from collections.abc import Callable
from typing import cast

from eliot import log_message
from google.protobuf.message import DecodeError

from eelgrassweir.daemon.held_bytes import (
    SMALL_MESSAGE_BYTES,
    HeldBytes,
    HeldMessage,
)
from eelgrassweir.proto import link_pb2

LENGTH = struct.Struct(">I")
# A frame without room waits so long for it, in steps, before the connection is
# closed.
MAX_PAUSE_MS = 500.0
PAUSE_STEP_MS = 20.0


def encode_frame(frame: link_pb2.Frame) -> tuple[bytes, bytes]:
    """Return the bytes of a frame: its length and its content."""
    payload = frame.SerializeToString()
    return LENGTH.pack(len(payload)), payload


class FrameProtocol(asyncio.Protocol):
    """Decode a byte stream into frames, which subclasses handle.

    A frame that is malformed or above the limit closes the connection. One for
    which ``held`` has no room stops the reading for a while. ``on_read`` is
    called for each read.
    """

    def __init__(
        self,
        frame_limit_bytes: int,
        *,
        held: HeldBytes,
        on_read: Callable[[], None] | None = None,
    ) -> None:
        self._frame_limit_bytes = frame_limit_bytes
        self._held = held
        self._on_read = on_read
        self._buffer = bytearray()
        # The frame that is being received, once its length is known.
        self._held_frame: HeldMessage | None = None
        self._paused_ms = 0.0
        self.is_read_paused = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # Transports of other event loops may only share the interface.
        transport = cast(asyncio.Transport, transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport and what was received."""
        self.transport = None
        self._buffer = bytearray()
        self._held.remove_unsent(self._count_unsent_bytes)
        self._release_frame()

    def pause_writing(self) -> None:
        """Count what the peer does not accept as held."""
        self._held.add_unsent(self._count_unsent_bytes)

    def resume_writing(self) -> None:
        """Stop counting the write buffer, which is nearly empty."""
        self._held.remove_unsent(self._count_unsent_bytes)

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame."""
        if self._on_read is not None:
            self._on_read()
        self._buffer += data
        if not self.is_read_paused:
            self._decode_frames()

    def _decode_frames(self) -> None:
        while len(self._buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer)
            if length > self._frame_limit_bytes:
                self.close()
                return
            if not self._try_hold_frame(length):
                self._pause_reading()
                return
            end = LENGTH.size + length
            if len(self._buffer) < end:
                return
            payload = self._take_payload(end)
            try:
                frame = link_pb2.Frame.FromString(payload)
            except DecodeError:
                self.close()
                return
            del payload
            self._release_frame()
            self.frame_received(frame)

    def _take_payload(self, end: int) -> bytes:
        """Remove the first frame from the buffer and return its content."""
        with memoryview(self._buffer) as view:
            payload = bytes(view[LENGTH.size : end])
        del self._buffer[:end]
        return payload

    def _try_hold_frame(self, length: int) -> bool:
        """Return whether there is room for the whole frame."""
        if self._held_frame is not None:
            return True
        frame = HeldMessage(self._held)
        # While it waits, the other requests of the link wait too.
        if not frame.try_grow(length, drops_waiting=True):
            return False
        self._held_frame = frame
        return True

    def _release_frame(self) -> None:
        if self._held_frame is not None:
            self._held_frame.release()
            self._held_frame = None

    def _pause_reading(self) -> None:
        """Read on once there may be room for the next frame."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._paused_ms >= MAX_PAUSE_MS:
            log_message(message_type="link:no_memory", held_bytes=self._held.used_bytes)
            self.close()
            return
        self._paused_ms += PAUSE_STEP_MS
        if not self.is_read_paused:
            self.is_read_paused = True
            self.transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(PAUSE_STEP_MS / 1e3, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        paused_ms = self._paused_ms
        self._decode_frames()
        if self._paused_ms > paused_ms or self.transport is None:
            return
        self._paused_ms = 0.0
        self.is_read_paused = False
        self.transport.resume_reading()

    def _count_unsent_bytes(self) -> int:
        """Return the size of the frames that the peer has not accepted."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def frame_received(self, frame: link_pb2.Frame) -> None:
        """Handle one frame."""
        raise NotImplementedError

    def send(self, frame: link_pb2.Frame) -> bool:
        """Send one frame; return False if the connection is closed."""
        if self.transport is None or self.transport.is_closing():
            return False
        length, payload = encode_frame(frame)
        if len(payload) <= SMALL_MESSAGE_BYTES:
            self.transport.write(length + payload)
        else:
            self.transport.write(length)
            self.transport.write(payload)
        return True

    def close(self) -> None:
        """Close immediately, since the peer may no longer read."""
        if self.transport is not None:
            self.transport.abort()
