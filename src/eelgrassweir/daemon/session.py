"""The two ends of one stream of the control plane."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc.aio
from eliot import write_traceback

from eelgrassweir.daemon.control_client import Connect, make_stub, open_channel
from eelgrassweir.daemon.edge import Edge
from eelgrassweir.proto.control_pb2 import Down, Up

Handle = Callable[[Any], None]
Take = Callable[[], list[Any]]


async def run_caller(
    edge: Edge, handle: Handle, take: Take, connect: Connect = open_channel
) -> str:
    """Open a stream to ``edge.address`` and run it; return why it ended."""
    channel = connect(edge.address)
    call = make_stub(channel).Join()
    try:
        await _run(edge, call.read, call.write, handle, take)
    finally:
        call.cancel()
        await channel.close()
    return edge.close_cause


async def run_server(
    edge: Edge, context: Any, handle: Handle, take: Take, first: Up
) -> None:
    """Run the serving end of a stream whose first message was read."""
    handle(first)
    await _run(edge, context.read, context.write, handle, take)


async def _run(
    edge: Edge,
    read: Callable[[], Awaitable[Any]],
    write: Callable[[Any], Awaitable[None]],
    handle: Handle,
    take: Take,
) -> None:
    tasks = [
        asyncio.create_task(_read_loop(edge, read, handle)),
        asyncio.create_task(_write_loop(edge, write, take)),
        asyncio.create_task(edge.closed.wait()),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            error = task.exception() if task.done() else None
            if error is not None:
                write_traceback(exc_info=(type(error), error, error.__traceback__))
                edge.close("error")
    finally:
        edge.close("ended")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _read_loop(
    edge: Edge, read: Callable[[], Awaitable[Any]], handle: Handle
) -> None:
    try:
        while not edge.closed.is_set():
            message = await read()
            if message is grpc.aio.EOF:
                edge.close("ended")
                return
            handle(message)
    except (grpc.aio.AioRpcError, grpc.aio.UsageError, grpc.aio.InternalError):
        edge.close("broken")


async def _write_loop(
    edge: Edge, write: Callable[[Any], Awaitable[None]], take: Take
) -> None:
    try:
        while not edge.closed.is_set():
            await edge.wait()
            for message in take():
                await write(message)
    except (
        grpc.aio.AioRpcError,
        grpc.aio.UsageError,
        grpc.aio.InternalError,
        asyncio.InvalidStateError,
    ):
        edge.close("broken")


async def send_and_end(context: Any, downs: list[Down]) -> None:
    """Answer a stream with a few messages and end it."""
    for down in downs:
        await context.write(down)
