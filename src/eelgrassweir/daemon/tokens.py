"""Take tokens for requests at an entry daemon, and borrow them in advance.

The entry takes one token for each request here; ``share_service`` is the side
of the share holder that lends them.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Sequence

import attrs
from returns.result import Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2
from eelgrassweir.shares.borrower import BorrowCall, Borrower, Token

SendBorrowRequest = Callable[
    [str, control_pb2.BorrowRequest],
    Awaitable[Result[control_pb2.BorrowReply, StepError]],
]
ListHolders = Callable[[], Sequence[tuple[str, str]]]

# Timeout of a call to a holder.
_CALL_TIMEOUT_MS = 250.0
# Intervals at which calls are planned while requests wait, and otherwise.
_WAITING_INTERVAL_MS = 5.0
_ACTIVE_INTERVAL_MS = 50.0


@attrs.frozen(kw_only=True)
class TokenDecision:
    """Result of taking a token.

    ``retry_after_ms`` tells a refused caller when to try again.
    """

    is_granted: bool
    retry_after_ms: int = 0
    token: Token | None = None


@attrs.define(kw_only=True, eq=False)
class _Waiter:
    """A request that waits for a token, and for how long."""

    token: asyncio.Future[Token | None]
    since_ms: float
    is_overdue: bool = False
    timer: asyncio.TimerHandle | None = None

    def refuse(self) -> None:
        if not self.token.done():
            self.token.set_result(None)


class TokenService:
    """Give requests tokens that are borrowed from share holders in advance.

    ``borrow`` sends one request to a control address. ``holders`` lists the
    (failure domain, control address) of the holders, own domain first. A
    request waits up to ``wait_ms`` for a token, and longer while no holder has
    answered yet.
    """

    def __init__(
        self,
        clock: Clock,
        vm: str,
        incarnation: str,
        borrow: SendBorrowRequest,
        holders: ListHolders,
        wait_ms: int,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._borrow = borrow
        self._holders = holders
        self._wait_ms = wait_ms
        self._borrower = Borrower()
        self._waiters: dict[str, deque[_Waiter]] = {}
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._is_running = False
        self.granted_calls = 0
        self.refused_calls = 0
        self.refunded_calls = 0
        self.borrow_calls = 0
        self.failed_borrow_calls = 0

    async def start(self) -> None:
        """Allow calls to holders."""
        self._is_running = True

    async def stop(self) -> None:
        """Refuse the requests that wait and cancel the calls to holders."""
        self._is_running = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for queue in self._waiters.values():
            for waiter in queue:
                waiter.refuse()
        calls = list(self._call_tasks)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def take(self, team: str) -> TokenDecision:
        """Take one token of the team, waiting for a grant if necessary."""
        now_ms = self._clock.now_ms()
        self._borrower.record_demand(team, now_ms)
        token = None if self._waiters.get(team) else self._borrower.take(team, now_ms)
        if token is not None:
            if self._borrower.needs_call(team, now_ms):
                self._send_due_calls()
            self._schedule_planning()
        else:
            token = await self._wait_for_token(team)
        if token is not None:
            self.granted_calls += 1
            return TokenDecision(is_granted=True, token=token)
        self.refused_calls += 1
        domains = [domain for domain, _ in self._holders()]
        retry_ms = self._borrower.retry_after_ms(team, domains, self._clock.now_ms())
        return TokenDecision(is_granted=False, retry_after_ms=retry_ms)

    def refund(self, token: Token) -> None:
        """Return the token of a call that was refused without a run."""
        self.refunded_calls += 1
        self._borrower.refund(token, self._clock.now_ms())
        self._schedule_planning()

    def state(self) -> dict[str, object]:
        """Return the counters, tokens and demand for the dump."""
        return {
            "granted_calls": self.granted_calls,
            "refused_calls": self.refused_calls,
            "refunded_calls": self.refunded_calls,
            "borrow_calls": self.borrow_calls,
            "failed_borrow_calls": self.failed_borrow_calls,
            **self._borrower.state(self._clock.now_ms()),
        }

    async def _wait_for_token(self, team: str) -> Token | None:
        if not self._is_running or self._wait_ms <= 0:
            return None
        loop = asyncio.get_running_loop()
        waiter = _Waiter(token=loop.create_future(), since_ms=self._clock.now_ms())
        queue = self._waiters.setdefault(team, deque())
        queue.append(waiter)
        self._borrower.set_waiting(team, len(queue))
        self._send_due_calls()
        waiter.timer = loop.call_later(
            self._wait_ms / 1000.0, self._end_wait, team, waiter
        )
        try:
            return await waiter.token
        finally:
            waiter.timer.cancel()
            if waiter in queue:
                queue.remove(waiter)
            self._borrower.set_waiting(team, len(queue))
            if not queue and self._waiters.get(team) is queue:
                del self._waiters[team]

    def _end_wait(self, team: str, waiter: _Waiter) -> None:
        """Refuse a request, after the pending replies if none came yet."""
        waiter.is_overdue = True
        waiter.timer = asyncio.get_running_loop().call_later(
            _CALL_TIMEOUT_MS / 1000.0, waiter.refuse
        )
        self._refuse_overdue(team)

    def _refuse_overdue(self, team: str) -> None:
        for waiter in self._waiters.get(team, ()):
            if waiter.is_overdue and not self._borrower.is_undecided(
                team, waiter.since_ms
            ):
                waiter.refuse()

    def _serve_waiters(self) -> None:
        for team, queue in list(self._waiters.items()):
            while queue:
                if queue[0].token.done():
                    queue.popleft()
                    continue
                token = self._borrower.take(team, self._clock.now_ms())
                if token is None:
                    break
                queue.popleft().token.set_result(token)
            self._borrower.set_waiting(team, len(queue))

    def _send_due_calls(self) -> None:
        """Send the calls to holders that are due."""
        if not self._is_running:
            return
        addresses = dict(self._holders())
        calls = self._borrower.plan(list(addresses), self._clock.now_ms())
        for call in calls:
            task = asyncio.ensure_future(self._run_call(call, addresses[call.domain]))
            self._call_tasks.add(task)
            task.add_done_callback(self._call_tasks.discard)
        self._schedule_planning()

    async def _run_call(self, call: BorrowCall, address: str) -> None:
        self.borrow_calls += 1
        reply: control_pb2.BorrowReply | None = None
        try:
            request = call.message(self._vm, self._incarnation)
            async with asyncio.timeout(_CALL_TIMEOUT_MS / 1000.0):
                result = await self._borrow(address, request)
            if isinstance(result, Success):
                reply = result.unwrap()
        except TimeoutError:
            pass
        finally:
            if reply is None:
                self.failed_borrow_calls += 1
            self._borrower.settle(call, reply, self._clock.now_ms())
        self._serve_waiters()
        for team in call.wanted:
            self._refuse_overdue(team)
        self._send_due_calls()

    def _schedule_planning(self) -> None:
        if not self._is_running or self._borrower.is_idle():
            return
        delay_ms = _WAITING_INTERVAL_MS if self._waiters else _ACTIVE_INTERVAL_MS
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_ms / 1000.0
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_s, self._run_planning)

    def _run_planning(self) -> None:
        self._timer = None
        self._send_due_calls()
