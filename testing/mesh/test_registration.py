"""Guard against a member entry that is maintained beyond its daemon's stop."""

import asyncio

from eelgrassweir.clock import Clock
from eelgrassweir.mesh.registration import Registration
from eelgrassweir.platform.store import PlatformStore
from testing.mesh.fleet import find_free_address


def test_cancellation_together_with_a_new_value_ends_the_registration() -> None:
    """Guard against a daemon that never exits after its planned stop.

    Found by the soak (seed 61109): the process was still there after minutes.
    """

    async def scenario() -> None:
        clock = Clock()
        registration = Registration(
            PlatformStore(find_free_address(), clock=clock, timeout_ms=100),
            clock=clock,
            key="members/vm-0",
            lease_ms=1_500,
            get_revision=lambda _era: 0,
        )
        task = asyncio.create_task(registration.run())
        await asyncio.sleep(0.01)
        registration.set_value(b"leaving")
        task.cancel()
        done, _ = await asyncio.wait([task], timeout=1)
        assert done == {task}

    asyncio.run(scenario())
