"""Access of the admin listener's threads to the daemon's event loop."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from eelgrassweir.daemon.admin import AdminSources
from eelgrassweir.proto import control_pb2

if TYPE_CHECKING:
    from eelgrassweir.daemon.app import Application

CALL_TIMEOUT_S = 10.0

T = TypeVar("T")


def make_sources(app: "Application", loop: asyncio.AbstractEventLoop) -> AdminSources:
    """Return the callables of the admin listener; each runs on ``loop``.

    They raise TimeoutError after ``CALL_TIMEOUT_S``.
    """

    def wait(coroutine: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(CALL_TIMEOUT_S)

    def run_on_loop(function: Callable[[], T]) -> Callable[[], T]:
        async def call() -> T:
            return function()

        return lambda: wait(call())

    def commit(
        base_version: int, change_id: str, document_json: bytes
    ) -> tuple[str, int]:
        reply = wait(
            app.control.commit(
                base_version=base_version,
                change_id=change_id,
                document_json=document_json,
            )
        )
        return reply.result, reply.version

    return AdminSources(
        dump=run_on_loop(app.state),
        status=lambda: wait(fleet_status(app)),
        config=run_on_loop(lambda: app.control.config),
        commit=commit,
        usage=run_on_loop(app.usage.rates),
        targets=run_on_loop(lambda: ready_targets(app)),
        vms=run_on_loop(lambda: known_vms(app)),
    )


async def fleet_status(app: "Application") -> dict[str, Any]:
    """Return the status of the fleet as this daemon knows it."""
    fleet = await app.control.fleet_status()
    config = app.control.config
    return {
        "vm": app.settings.vm,
        "config_version": config.version if config else 0,
        "is_fresh": app.control.is_fresh(),
        "store_reached": fleet.store_reached,
        "freshness_age_ms": app.control.freshness_age_ms(),
        "fleet": {
            "counts": [
                {"version": version, "daemons": daemons}
                for version, daemons in sorted(fleet.daemons_by_version.items())
            ],
            "lagging": list(fleet.lagging),
            "daemons_known": fleet.members_known,
            **attrs.asdict(fleet),
        },
    }


def ready_targets(app: "Application") -> dict[str, str]:
    """Return the service of each ready VM."""
    return {
        member.vm: member.service
        for member in app.control.members.all()
        if member.state == control_pb2.READY and member.service
    }


def known_vms(app: "Application") -> dict[str, dict[str, str]]:
    """Return the properties of each VM as this daemon knows them."""
    return {
        member.vm: {
            "failure_domain": member.failure_domain,
            "service": member.service,
            "state": control_pb2.MemberState.Name(member.state).lower(),
            "admin_address": member.admin_address,
        }
        for member in app.control.members.all()
    }
