"""Pool of links, one for each daemon that is called.

Used by the dispatchers, to borrow tokens from share holders, and to follow the
store through other daemons.
"""

import asyncio

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.address import split_address
from eelgrassweir.daemon.http_client import describe_connect_error
from eelgrassweir.daemon.http_message import Body
from eelgrassweir.daemon.identity import FLEET_CERTIFICATE_NAME
from eelgrassweir.daemon.link_client import (
    LinkConnection,
    LinkError,
    LinkOptions,
    Reply,
)
from eelgrassweir.proto import link_pb2


class LinkPool:
    """Pool of links, one for each target daemon that is called."""

    def __init__(self, options: LinkOptions, clock: Clock) -> None:
        self._options = options
        self._clock = clock
        self._links: dict[tuple[str, str], LinkConnection] = {}
        self._connecting: dict[tuple[str, str], asyncio.Task[LinkConnection]] = {}
        # Silent links that still wait for replies, and were replaced.
        self._suspected: set[LinkConnection] = set()
        # One timer serves all links. With several hundred idle links, a timer
        # for each would cost more than their requests.
        self._timer: asyncio.TimerHandle | None = None
        self._check_due_ms = 0.0

    async def call(
        self,
        address: str,
        incarnation: str,
        request: link_pb2.Request,
        *,
        timeout_ms: float,
        body: Body = b"",
    ) -> Reply:
        """Call the daemon at ``address`` if it has the given incarnation.

        ``body`` is that of the request, which contains none.

        :raises LinkError: if there is no reply within ``timeout_ms``;
            ``maybe_sent`` says whether the daemon can have received it.
        """
        started_ms = self._clock.now_ms()
        link = await self._get_link(address, incarnation, timeout_ms)
        remaining_ms = max(timeout_ms - (self._clock.now_ms() - started_ms), 1.0)
        # Opening the link may have taken a part of the time.
        request.context.remaining_ms = min(
            request.context.remaining_ms, int(remaining_ms)
        )
        return await link.call(request, timeout_ms=remaining_ms, body=body)

    async def borrow(
        self, address: str, incarnation: str, request: bytes, *, timeout_ms: float
    ) -> bytes:
        """Ask the share holder at ``address`` for tokens.

        Request and reply are serialized messages.

        :raises LinkError: if there is no reply within ``timeout_ms``.
        """
        link = await self._get_link(address, incarnation, timeout_ms)
        return await link.borrow(request, timeout_ms=timeout_ms)

    async def follow(
        self,
        address: str,
        incarnation: str,
        request: link_pb2.Follow,
        *,
        timeout_ms: float,
    ) -> link_pb2.Update:
        """Wait for news of the store from the daemon at ``address``.

        :raises LinkError: if there is no update within ``timeout_ms``.
        """
        link = await self._get_link(address, incarnation, timeout_ms)
        return await link.follow(request, timeout_ms=timeout_ms)

    async def renew_lease(
        self,
        address: str,
        incarnation: str,
        request: link_pb2.RenewLease,
        *,
        timeout_ms: float,
    ) -> link_pb2.Renewal:
        """Let the daemon at ``address`` renew a lease of the store.

        :raises LinkError: if there is no reply within ``timeout_ms``.
        """
        link = await self._get_link(address, incarnation, timeout_ms)
        return await link.renew_lease(request, timeout_ms=timeout_ms)

    async def share_leaves(
        self,
        address: str,
        incarnation: str,
        request: link_pb2.ShareLeaves,
        *,
        timeout_ms: float,
    ) -> link_pb2.KnownLeaves:
        """Let the daemon at ``address`` remember leaves; return what it knows.

        :raises LinkError: if there is no reply within ``timeout_ms``.
        """
        link = await self._get_link(address, incarnation, timeout_ms)
        return await link.share_leaves(request, timeout_ms=timeout_ms)

    def round_trip_ms(self, address: str, incarnation: str) -> float | None:
        """Return the round trip of the link to a daemon, if it is measured."""
        link = self._links.get((address, incarnation))
        return None if link is None else link.round_trip_ms

    def close(self) -> None:
        """Close all links."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._connecting.values():
            task.cancel()
        for link in (*self._links.values(), *self._suspected):
            link.close()
        self._links.clear()
        self._suspected.clear()

    def state(self) -> dict[str, object]:
        """Return the open links and their requests in flight, for the dump."""
        return {
            address: {
                "incarnation": incarnation,
                "in_flight_calls": link.in_flight_count,
            }
            for (address, incarnation), link in self._links.items()
            if link.is_open
        }

    async def _get_link(
        self, address: str, incarnation: str, timeout_ms: float
    ) -> LinkConnection:
        key = (address, incarnation)
        link = self._links.get(key)
        if link is not None and link.is_open:
            return link
        task = self._connecting.get(key)
        if task is None:
            task = asyncio.create_task(self._connect(address, incarnation))
            self._connecting[key] = task
            task.add_done_callback(lambda _: self._connecting.pop(key, None))
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                link = await asyncio.shield(task)
        except TimeoutError:
            raise LinkError(
                "link connect",
                address,
                f"no link in {timeout_ms:.0f} ms",
                False,
                is_timeout=True,
            ) from None
        if self._timer is None:
            self._schedule_check()
        self._links[key] = link
        return link

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_due_ms = self._clock.now_ms() + self._options.ping_ms
        self._timer = loop.call_later(self._options.ping_ms / 1e3, self._check_links)

    def _check_links(self) -> None:
        """Check every link and remove the closed ones.

        Peers may have sent while this process was paused or behind; what they
        sent is not read yet.
        """
        now_ms = self._clock.now_ms()
        paused_ms = now_ms - self._check_due_ms
        if paused_ms >= self._options.ping_ms:
            for link in (*self._links.values(), *self._suspected):
                link.excuse_silence(paused_ms)
        for key, link in list(self._links.items()):
            link.check_liveness(now_ms)
            if not link.is_open or link.is_suspected:
                del self._links[key]
                self._suspected.add(link)
        for link in list(self._suspected):
            link.check_liveness(now_ms)
            if not link.is_open:
                self._suspected.discard(link)
        self._timer = None
        if self._links or self._suspected:
            self._schedule_check()

    async def _connect(self, address: str, incarnation: str) -> LinkConnection:
        """Open a link and check the incarnation of the peer."""
        loop = asyncio.get_running_loop()
        link = LinkConnection(address, self._options, self._clock)
        try:
            host, port = split_address(address)
            async with asyncio.timeout(self._options.connect_timeout_ms / 1e3):
                await loop.create_connection(
                    lambda: link,
                    host,
                    port,
                    ssl=self._options.tls,
                    server_hostname=FLEET_CERTIFICATE_NAME
                    if self._options.tls
                    else None,
                )
                hello = await link.hello
        except TimeoutError:
            link.close()
            reason = f"no link in {self._options.connect_timeout_ms} ms"
            raise LinkError("link connect", address, reason, False) from None
        except (OSError, ValueError) as error:
            reason = describe_connect_error(error)
            raise LinkError("link connect", address, reason, False) from None
        if hello.incarnation != incarnation:
            link.close()
            reason = "another incarnation answers at this address"
            raise LinkError("link connect", address, reason, False)
        return link
