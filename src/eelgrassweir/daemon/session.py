"""The two ends of one stream of the control plane."""

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
    # Raised by a write on a stream that has ended.
    asyncio.InvalidStateError,
)

Handle = Callable[[Any], None]
Take = Callable[[], list[Any]]


async def run_client_stream(
    edge: Edge,
    handle: Handle,
    take: Take,
    connect: ChannelFactory,
    metrics: ControlMetrics,
) -> None:
    """Open a stream to ``edge.address`` and run it until it ends."""
    channel = connect(edge.address)
    call = make_stub(channel).Join()
    try:
        await _run(edge, call, handle, take, metrics)
    finally:
        call.cancel()
        await channel.close()


async def run_server_stream(
    edge: Edge, context: Any, handle: Handle, take: Take, metrics: ControlMetrics
) -> None:
    """Run the serving end of a stream until it ends."""
    await _run(edge, context, handle, take, metrics)


async def _run(
    edge: Edge, stream: Any, handle: Handle, take: Take, metrics: ControlMetrics
) -> None:
    tasks = [
        asyncio.create_task(_read_loop(edge, stream, handle, metrics)),
        asyncio.create_task(_write_loop(edge, stream, take, metrics)),
        asyncio.create_task(edge.closed.wait()),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            # A read is cancelled when its channel is closed elsewhere.
            is_over = task.done() and not task.cancelled()
            error = task.exception() if is_over else None
            if error is not None:
                write_traceback(exc_info=(type(error), error, error.__traceback__))
                edge.close("error")
    finally:
        edge.close("ended")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _read_loop(
    edge: Edge, stream: Any, handle: Handle, metrics: ControlMetrics
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


async def _write_loop(
    edge: Edge, stream: Any, take: Take, metrics: ControlMetrics
) -> None:
    try:
        while not edge.closed.is_set():
            await edge.wait()
            for message in take():
                await stream.write(message)
                metrics.sent.inc()
    except STREAM_ERRORS:
        edge.close("broken")


async def send_and_close(context: Any, downs: list[Down]) -> None:
    """Answer a stream with a few messages and end it."""
    for down in downs:
        await context.write(down)
