"""Framing of links: a big-endian length of 4 bytes, then a protobuf frame."""

import asyncio
import socket
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
# Value of SO_LINGER (l_onoff, l_linger) with which a close resets.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A frame without room waits so long for it, in steps, before the connection is
# closed.
MAX_PAUSE_MS = 500.0
PAUSE_STEP_MS = 20.0
# Frames of one connection that are handled before others get their turn: more
# than one read has of usual requests, so that their cancels are seen in time.
MAX_FRAMES_PER_TURN = 1_024
# Size of the first frame, which holds two names.
MAX_HELLO_BYTES = 4_096


def encode_frame(frame: link_pb2.Frame) -> tuple[bytes, bytes]:
    """Return the bytes of a frame: its length and its content."""
    payload = frame.SerializeToString()
    return LENGTH.pack(len(payload)), payload


class FrameProtocol(asyncio.Protocol):
    """Decode a byte stream into frames, which subclasses handle.

    Both sides of a link begin with one hello. Another first frame, a second
    hello, and a frame that is malformed, empty or above the limit close the
    connection. A frame of an unknown kind is ignored, since a newer daemon may
    have sent it. A frame for which ``held`` has no room stops the reading for
    a while. ``on_read`` is called for each read.
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
        self._is_frame_stalled = False
        self._paused_ms = 0.0
        self._has_hello = False
        self.is_read_paused = False
        self.is_write_paused = False
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
        self.is_write_paused = True
        self._held.add_unsent(self._count_unsent_bytes)

    def resume_writing(self) -> None:
        """Stop counting the write buffer, which is nearly empty."""
        self.is_write_paused = False
        self._held.remove_unsent(self._count_unsent_bytes)

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame."""
        if self._on_read is not None:
            self._on_read()
        self._buffer += data
        if not self.is_read_paused:
            self._decode_frames()

    def _decode_frames(self) -> None:
        """Handle the complete frames, but no more than those of one turn."""
        for _ in range(MAX_FRAMES_PER_TURN):
            payload = self._read_payload()
            if payload is None:
                return
            try:
                frame = link_pb2.Frame.FromString(payload)
            except DecodeError:
                self.reject("a frame cannot be decoded")
                return
            del payload
            self._release_frame()
            if not self._try_handle(frame):
                return
        if len(self._buffer) >= LENGTH.size:
            self._continue_next_turn()

    def _read_payload(self) -> bytes | None:
        """Return the content of the next frame, None if there is none now."""
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        limit_bytes = self._frame_limit_bytes if self._has_hello else MAX_HELLO_BYTES
        if not 0 < length <= limit_bytes:
            self.reject(f"a frame of {length} bytes")
            return None
        if not self._try_hold_frame(length):
            self._pause_reading()
            return None
        end = LENGTH.size + length
        if len(self._buffer) < end:
            return None
        return self._take_payload(end)

    def _try_handle(self, frame: link_pb2.Frame) -> bool:
        """Handle one frame; return whether the connection is still open."""
        is_hello = frame.HasField("hello")
        if is_hello is self._has_hello:
            self.reject("a second hello" if is_hello else "no hello")
            return False
        self._has_hello = True
        try:
            self.frame_received(frame)
        except Exception as error:
            self.reject(f"{type(error).__name__}: {error}")
        return self.transport is not None and not self.transport.is_closing()

    def reject(self, reason: str) -> None:
        """Close a connection whose bytes are not those of a link."""
        log_message(message_type="link:rejected", reason=reason)
        self.close()

    def _take_payload(self, end: int) -> bytes:
        """Remove the first frame from the buffer and return its content."""
        with memoryview(self._buffer) as view:
            payload = bytes(view[LENGTH.size : end])
        del self._buffer[:end]
        return payload

    def _try_hold_frame(self, length: int) -> bool:
        """Return whether there is room for the whole frame."""
        if self._held_frame is not None and not self._is_frame_stalled:
            return True
        self._release_frame()
        frame = HeldMessage(self._held)
        # While it waits, the other requests of the link wait too.
        if not frame.try_grow(length, drops_waiting=True):
            return False
        self._held_frame = frame
        self._paused_ms = 0.0
        return True

    def shrink_stalled_frame(self) -> None:
        """Count only what has arrived of a frame whose peer is silent.

        The room for the whole frame is taken again when more of it arrives.
        """
        if self._held_frame is None or self._is_frame_stalled:
            return
        self._held_frame.release()
        self._held_frame.grow(len(self._buffer))
        self._is_frame_stalled = True

    def _release_frame(self) -> None:
        self._is_frame_stalled = False
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
        self._stop_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(PAUSE_STEP_MS / 1e3, self._resume_reading)

    def _continue_next_turn(self) -> None:
        """Handle the other frames after what else the event loop has to do."""
        self._paused_ms = 0.0
        self._stop_reading()
        asyncio.get_running_loop().call_soon(self._resume_reading)

    def _stop_reading(self) -> None:
        if self.transport is not None and not self.is_read_paused:
            self.is_read_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        """Handle what was read before, and read on if that is done."""
        if self.transport is None or self.transport.is_closing():
            return
        self.is_read_paused = False
        self._decode_frames()
        if self.is_read_paused or self.transport is None:
            return
        self._paused_ms = 0.0
        if not self.transport.is_closing():
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

    def reset(self) -> None:
        """Close immediately, and let the system drop what it has not sent.

        It would send that on once the peer can be reached again.
        """
        if self.transport is None or self.transport.is_closing():
            return
        tcp_socket = self.transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Close immediately, since the peer may no longer read."""
        if self.transport is not None:
            self.transport.abort()
