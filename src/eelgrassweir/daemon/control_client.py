"""gRPC channels and unary calls to the control port of other daemons."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import grpc
import grpc.aio
from returns.result import Failure, Result, Success

from eelgrassweir.daemon.control_metrics import ControlMetrics
from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2, control_pb2_grpc

# Each channel has its own connection: gRPC otherwise shares connections
# between channels to one address, and a new channel would get the silent
# connection again. To reconnect, the caller opens a new channel.
CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
    # The probe adds a ping to each message: 198 instead of 84 bytes/s on a
    # stream with one heartbeat per second.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_receive_message_length", 8_000_000),
    ("grpc.max_send_message_length", 8_000_000),
)
MAX_CHANNELS = 64

ChannelFactory = Callable[[str], grpc.aio.Channel]


def open_channel(address: str) -> grpc.aio.Channel:
    """Open a plaintext channel with a connection of its own."""
    return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)


def make_tls_factory(
    credentials: Callable[[], grpc.ChannelCredentials], name: str
) -> ChannelFactory:
    """Return a factory of TLS channels.

    ``name`` is the name that the certificates of the peers carry;
    ``credentials`` is called for each channel, so that it gets current files.
    """

    def connect(address: str) -> grpc.aio.Channel:
        options = (*CHANNEL_OPTIONS, ("grpc.ssl_target_name_override", name))
        return grpc.aio.secure_channel(address, credentials(), options=options)

    return connect


def make_stub(channel: grpc.aio.Channel) -> Any:
    """Return the stub of the control service; the generated one is untyped."""
    make: Any = control_pb2_grpc.ControlStub
    return make(channel)


class ControlClient:
    """Make unary calls; replace channels that do not answer.

    Each address has one channel; the least recently used one of more than
    ``MAX_CHANNELS`` is evicted.
    """

    def __init__(
        self, metrics: ControlMetrics, connect: ChannelFactory = open_channel
    ) -> None:
        self._metrics = metrics
        self._connect = connect
        self._channels: OrderedDict[str, grpc.aio.Channel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    async def borrow(
        self, address: str, request: control_pb2.BorrowRequest, timeout_ms: float
    ) -> Result[control_pb2.BorrowReply, StepError]:
        """Ask a share holder for tokens."""
        return await self._call("Borrow", address, request, timeout_ms)

    async def promise(
        self, address: str, request: control_pb2.PromiseRequest, timeout_ms: float
    ) -> Result[control_pb2.PromiseReply, StepError]:
        """Ask a successor of the share holder not to take over."""
        return await self._call("Promise", address, request, timeout_ms)

    async def subtree(
        self, address: str, timeout_ms: float
    ) -> Result[control_pb2.SubtreeReply, StepError]:
        """Ask a relay for the acknowledgements of its subtree."""
        request = control_pb2.SubtreeRequest()
        return await self._call("Subtree", address, request, timeout_ms)

    async def commit(
        self, address: str, request: control_pb2.CommitRequest, timeout_ms: float
    ) -> Result[control_pb2.CommitReply, StepError]:
        """Ask a relay to commit a change."""
        return await self._call("Commit", address, request, timeout_ms)

    async def close(self) -> None:
        """Close all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()
        for task in list(self._closing):
            task.cancel()

    async def _call(
        self, method: str, address: str, request: Any, timeout_ms: float
    ) -> Result[Any, StepError]:
        channel = self._channel(address)
        stub = make_stub(channel)
        call: Callable[..., Any] = getattr(stub, method)
        try:
            return Success(await call(request, timeout=timeout_ms / 1000))
        except grpc.aio.AioRpcError as error:
            self._metrics.call_failures.labels(method).inc()
            if error.code() in (
                grpc.StatusCode.DEADLINE_EXCEEDED,
                grpc.StatusCode.UNAVAILABLE,
            ):
                self._replace_channel(address, channel, timeout_ms)
            reason = f"{error.code().name}: {error.details()}"
            return Failure(StepError(f"call {method}", address, reason))
        except asyncio.CancelledError:
            # The caller's own timeout can be shorter than that of the call,
            # and the channel may still be silent.
            self._replace_channel(address, channel, timeout_ms)
            raise
        except (grpc.aio.UsageError, grpc.aio.InternalError) as error:
            self._replace_channel(address, channel, timeout_ms)
            return Failure(StepError(f"call {method}", address, str(error)))

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._connect(address)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        if len(self._channels) > MAX_CHANNELS:
            oldest, evicted = self._channels.popitem(last=False)
            self._close_later(evicted, 1000)
        return channel

    def _replace_channel(
        self, address: str, channel: grpc.aio.Channel, timeout_ms: float
    ) -> None:
        if self._channels.get(address) is not channel:
            return
        del self._channels[address]
        self._close_later(channel, timeout_ms)

    def _close_later(self, channel: grpc.aio.Channel, grace_ms: float) -> None:
        task = asyncio.create_task(channel.close(grace_ms / 1000))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
