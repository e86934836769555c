"""Run the streams of the control plane, at the calling and the serving end.

Used by ``parent``, ``peers`` and ``children``.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import grpc.aio
from eliot import write_traceback

from eelgrassweir.daemon.control_client import ChannelFactory, make_stub
from eelgrassweir.daemon.control_metrics import ControlMetrics
from eelgrassweir.daemon.edge import Edge
from eelgrassweir.proto.control_pb2 import Down

STREAM_ERRORS = (
    grpc.aio.AioRpcError,
    grpc.aio.UsageError,
    grpc.aio.InternalError,
    # Raised by a write to a stream that has ended.
    asyncio.InvalidStateError,
)

MessageHandler = Callable[[Any], None]
MessageSource = Callable[[], list[Any]]


async def run_client_stream(
    edge: Edge,
    handle: MessageHandler,
    next_messages: MessageSource,
    connect: ChannelFactory,
    metrics: ControlMetrics,
) -> None:
    """Open a stream to ``edge.address`` and run it until it ends.

    :param handle: called with each received message.
    :param next_messages: returns the messages to be sent.
    """
    channel = connect(edge.address)
    call = make_stub(channel).Join()
    try:
        await _run(edge, call, handle, next_messages, metrics)
    finally:
        call.cancel()
        await channel.close()


async def run_server_stream(
    edge: Edge,
    context: Any,
    handle: MessageHandler,
    next_messages: MessageSource,
    metrics: ControlMetrics,
) -> None:
    """Run the serving end of a stream until it ends."""
    await _run(edge, context, handle, next_messages, metrics)


async def _run(
    edge: Edge,
    stream: Any,
    handle: MessageHandler,
    next_messages: MessageSource,
    metrics: ControlMetrics,
) -> None:
    tasks = [
        asyncio.create_task(_receive_messages(edge, stream, handle, metrics)),
        asyncio.create_task(_send_messages(edge, stream, next_messages, metrics)),
        asyncio.create_task(edge.closed.wait()),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            # A read is cancelled if its channel is closed elsewhere.
            has_finished = task.done() and not task.cancelled()
            error = task.exception() if has_finished else None
            if error is not None:
                write_traceback(exc_info=(type(error), error, error.__traceback__))
                edge.close("error")
    finally:
        edge.close("ended")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _receive_messages(
    edge: Edge, stream: Any, handle: MessageHandler, metrics: ControlMetrics
) -> None:
    try:
        while not edge.closed.is_set():
            message = await stream.read()
            if message is grpc.aio.EOF:
                edge.close("ended")
                return
            metrics.received.inc()
            handle(message)
    except STREAM_ERRORS:
        edge.close("broken")


async def _send_messages(
    edge: Edge, stream: Any, next_messages: MessageSource, metrics: ControlMetrics
) -> None:
    try:
        while not edge.closed.is_set():
            await edge.wait()
            for message in next_messages():
                await stream.write(message)
                metrics.sent.inc()
    except STREAM_ERRORS:
        edge.close("broken")


async def send_and_close(context: Any, messages: list[Down]) -> None:
    """Answer a stream with the given messages; returning ends it."""
    for message in messages:
        await context.write(message)
