"""gRPC service of the control port."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import grpc
import grpc.aio
from returns.result import Failure, Result, Success

from eelgrassweir.daemon.connection_limit import ConnectionLimit
from eelgrassweir.daemon.control_client import CHANNEL_OPTIONS
from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2, control_pb2_grpc

# Bounds of the connections of other daemons, computed at the start.
CONNECTIONS_PERCENT = 15
MAX_CONNECTIONS = 1_024
# The library closes a silent connection after 120 s by default.
HANDSHAKE_TIMEOUT_MS = 10_000

BorrowHandler = Callable[
    [control_pb2.BorrowRequest], Awaitable[control_pb2.BorrowReply]
]
PromiseHandler = Callable[
    [control_pb2.PromiseRequest], Awaitable[control_pb2.PromiseReply]
]
CommitHandler = Callable[
    [control_pb2.CommitRequest], Awaitable[control_pb2.CommitReply]
]


@attrs.frozen(kw_only=True)
class ControlHandlers:
    """Handlers of the calls of other daemons.

    Without ``borrow`` or ``promise`` these calls get an empty reply.
    """

    join: Callable[[Any], Awaitable[None]]
    subtree: Callable[[], control_pb2.SubtreeReply]
    commit: CommitHandler
    borrow: BorrowHandler | None
    promise: PromiseHandler | None


class ControlServicer(control_pb2_grpc.ControlServicer):  # type: ignore[misc, unused-ignore]
    """Dispatch the calls of other daemons to their handlers."""

    def __init__(self, handlers: ControlHandlers) -> None:
        self._handlers = handlers

    async def Join(self, request_iterator: Any, context: Any) -> None:  # noqa: N802
        """Serve the stream of a child or of another relay."""
        await self._handlers.join(context)

    async def Borrow(  # noqa: N802
        self, request: control_pb2.BorrowRequest, context: Any
    ) -> control_pb2.BorrowReply:
        """Handle a request for tokens."""
        if self._handlers.borrow is None:
            return control_pb2.BorrowReply()
        return await self._handlers.borrow(request)

    async def Promise(  # noqa: N802
        self, request: control_pb2.PromiseRequest, context: Any
    ) -> control_pb2.PromiseReply:
        """Handle a share holder's request not to take over."""
        if self._handlers.promise is None:
            return control_pb2.PromiseReply()
        return await self._handlers.promise(request)

    async def Subtree(  # noqa: N802
        self, request: control_pb2.SubtreeRequest, context: Any
    ) -> control_pb2.SubtreeReply:
        """Return the acknowledgements of the subtree."""
        return self._handlers.subtree()

    async def Commit(  # noqa: N802
        self, request: control_pb2.CommitRequest, context: Any
    ) -> control_pb2.CommitReply:
        """Commit a change if this daemon is a relay."""
        return await self._handlers.commit(request)


async def start_server(
    address: str,
    handlers: ControlHandlers,
    credentials: grpc.ServerCredentials | None = None,
) -> Result[tuple[grpc.aio.Server, int], StepError]:
    """Listen on ``address``; return the server and its bound port.

    Fail if the address cannot be bound.
    """
    limit = ConnectionLimit(
        percent=CONNECTIONS_PERCENT, max_connections=MAX_CONNECTIONS
    )
    options = (
        *CHANNEL_OPTIONS,
        ("grpc.so_reuseport", 0),
        ("grpc.max_allowed_incoming_connections", limit.get_limit()),
        ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    )
    server = grpc.aio.server(options=options)
    register: Any = control_pb2_grpc.add_ControlServicer_to_server
    register(ControlServicer(handlers), server)
    try:
        if credentials is None:
            port = server.add_insecure_port(address)
        else:
            port = server.add_secure_port(address, credentials)
    except RuntimeError as error:
        return Failure(StepError("listen on the control port", address, str(error)))
    await server.start()
    return Success((server, port))


async def read_first(context: Any, timeout_ms: float) -> Any:
    """Return the first message of a stream; None at its end or timeout."""
    reader = asyncio.ensure_future(context.read())
    done, _ = await asyncio.wait([reader], timeout=timeout_ms / 1000)
    if not done:
        reader.cancel()
        return None
    message = reader.result()
    return None if message is grpc.aio.EOF else message
