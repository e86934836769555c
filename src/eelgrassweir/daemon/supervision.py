"""Run the long-lived tasks of a daemon and restart those that fail."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from eliot import log_message, write_traceback
from prometheus_client import Counter

# A task that fails at once every time must not use up the processor.
MIN_RESTART_DELAY_MS = 100.0
MAX_RESTART_DELAY_MS = 2_000.0


@attrs.define
class TaskSupervisor:
    """Restart tasks that end with an unexpected error.

    Each end is logged and counted in ``restarts`` by the name of the task.
    """

    restarts: Counter
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task that runs ``run`` until the supervisor stops."""
        self._add(self._run_forever(name, run))

    def start_once(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task that runs ``run`` one time."""
        self._add(self._run_reported(name, run))

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _add(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_forever(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        delay_ms = MIN_RESTART_DELAY_MS
        while True:
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            await self._run_reported(name, run)
            ran_ms = (loop.time() - started_s) * 1e3
            if ran_ms > MAX_RESTART_DELAY_MS:
                delay_ms = MIN_RESTART_DELAY_MS
            await asyncio.sleep(delay_ms / 1e3)
            delay_ms = min(MAX_RESTART_DELAY_MS, 2.0 * delay_ms)

    async def _run_reported(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a task once; log and count an error that ends it."""
        try:
            await run()
        except Exception as error:
            self.restarts.labels(name).inc()
            write_traceback()
            log_message(
                message_type="task:failed",
                task=name,
                reason=f"{type(error).__name__}: {error}",
            )
