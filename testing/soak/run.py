"""One soak: start a fleet, send requests, play faults, check the promises."""

import argparse
import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import BackendClient, ClientOptions, ExchangeError
from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.proto.control_pb2 import READY
from testing.mesh.fleet import HOST, make_config_document, make_route
from testing.soak import checks
from testing.soak.checks import Outcome, Revocation
from testing.soak.faults import FaultContext, make_schedule, play
from testing.soak.fleet import Node, SoakFleet

SERVICES = ["notes", "lists", "notes", "lists"]
KEYS = {"steady": "key-steady", "gone": "key-gone"}
ROUTES = {
    "/notes/safe/": ("notes", "safe"),
    "/notes/unsafe/": ("notes", "unsafe"),
    "/lists/safe/": ("lists", "safe"),
    "/lists/unsafe/": ("lists", "unsafe"),
}
# Below what the callers send, so that a rate that is not kept shows.
RATES = (10.0, 15.0, 25.0)
CALLERS_PER_NODE = 4
REQUEST_LIMIT_MS = 4_000.0
READY_LIMIT_S = 15.0
# One daemon does not hear that a key is taken away for longer than it may use
# the key.
CUT_OFF_S = 8.0
# After the last fault leases, pauses of holders and skips of targets pass.
RECOVERY_S = 10.0
REFILL_S = 1.5
LAST_REQUESTS = 8


@attrs.define(eq=False)
class Soak:
    """Hold one run with its seed."""

    seed: int
    seconds: float
    directory: pathlib.Path
    outcomes: list[Outcome] = attrs.field(factory=list)
    revocations: list[Revocation] = attrs.field(factory=list)
    version: int = 0
    rate_per_s: float = RATES[-1]
    sent: int = 0
    is_ending: bool = False

    async def run(self) -> list[str]:
        """Return the broken promises."""
        fleet = SoakFleet(self.directory)
        context = FaultContext(fleet)
        schedule = make_schedule(self.seed, self.seconds, len(SERVICES))
        (self.directory / "schedule.txt").write_text("\n".join(map(str, schedule)))
        try:
            self._configure(fleet)
            await fleet.start(SERVICES)
            await self._wait_ready(fleet)
            callers = [
                asyncio.create_task(self._call_often(fleet, node, number))
                for node in fleet.nodes
                for number in range(CALLERS_PER_NODE)
            ]
            changes = asyncio.create_task(self._change_configuration(fleet))
            await play(context, schedule)
            await changes
            await asyncio.sleep(RECOVERY_S)
            self.is_ending = True
            await asyncio.gather(*callers)
            # The callers pressed above the rate until now.
            await asyncio.sleep(REFILL_S)
            unserved = await self._unserved(fleet)
            return context.broken + self._broken(fleet) + unserved
        finally:
            await fleet.stop()

    def _configure(self, fleet: SoakFleet) -> None:
        self.version += 1
        routes = [
            make_route(prefix, service, kind=kind, public=False)
            for prefix, (service, kind) in ROUTES.items()
        ]
        body = json.loads(make_config_document(self.version, routes))
        revoked = {one.team for one in self.revocations}
        body["tenants"] = [
            {
                "name": team,
                "apiKeys": [] if team in revoked else [key],
                "priority": 1,
                "ratePerS": self.rate_per_s,
                "burst": self.rate_per_s,
            }
            for team, key in KEYS.items()
        ]
        fleet.store.put("op/config", json.dumps(body).encode())

    async def _change_configuration(self, fleet: SoakFleet) -> None:
        """Change rates often and take one key away halfway."""
        rng = random.Random(f"{self.seed} configuration")
        steps = 6
        async with asyncio.TaskGroup() as group:
            for step in range(1, steps + 1):
                await asyncio.sleep(self.seconds / steps)
                self.rate_per_s = rng.choice(RATES) if step < steps else RATES[-1]
                if step == steps // 2:
                    node = rng.choice(fleet.nodes)
                    group.create_task(_cut_off_from_store(fleet, node))
                    await asyncio.sleep(0.1)
                    revocation = Revocation(team="gone", written_s=time.monotonic())
                    self.revocations.append(revocation)
                self._configure(fleet)

    async def _wait_ready(self, fleet: SoakFleet) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            for node in fleet.nodes:
                while not await self._is_ready(fleet, node):
                    await asyncio.sleep(0.1)

    async def _is_ready(self, fleet: SoakFleet, node: Node) -> bool:
        try:
            state = await fleet.state(node)
        except (OSError, AssertionError):
            return False
        members = state["members"].values()
        ready = [one for one in members if one[1] == READY]
        return bool(state["is_ready"]) and len(ready) == len(fleet.nodes)

    async def _call_often(self, fleet: SoakFleet, node: Node, number: int) -> None:
        rng = random.Random(f"{self.seed} {node.name} {number}")
        client = _client(fleet, node)
        while not self.is_ending:
            team = rng.choice(list(KEYS))
            outcome = await self._call(client, rng.choice(list(ROUTES)), team)
            self.outcomes.append(outcome)
            await asyncio.sleep(rng.uniform(0.02, 0.2))
        client.close()

    async def _call(self, client: BackendClient, path: str, team: str) -> Outcome:
        self.sent += 1
        request_id = f"{self.seed}-{self.sent}"
        is_safe = ROUTES[path][1] == "safe"
        headers = (
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("X-Credential", KEYS[team]),
        )
        method = "GET" if is_safe else "POST"
        sent_s = time.monotonic()
        status, body = 0, b""
        try:
            answer = await client.exchange(
                HttpRequest(method, path, headers, b""), timeout_ms=REQUEST_LIMIT_MS
            )
            status, body = answer.status, answer.body
        except (ExchangeError, OSError):
            # No answer says nothing; the checks look at the runs.
            pass
        return Outcome(
            request_id=request_id,
            team=team,
            safe=is_safe,
            status=status,
            body=body,
            sent_s=sent_s,
            ended_s=time.monotonic(),
        )

    async def _unserved(self, fleet: SoakFleet) -> list[str]:
        """Return what is not served once all faults are over."""
        found = await asyncio.gather(
            *(self._unserved_at(fleet, node) for node in fleet.nodes)
        )
        return [line for lines in found for line in lines]

    async def _unserved_at(self, fleet: SoakFleet, node: Node) -> list[str]:
        client = _client(fleet, node)
        broken = []
        for _ in range(LAST_REQUESTS):
            outcome = await self._call(client, "/notes/safe/", "steady")
            if outcome.status != 200:
                broken.append(
                    f"{outcome.request_id} at {node.name} got {outcome.status} "
                    "after all faults were over"
                )
            # All nodes together stay below the lowest rate.
            await asyncio.sleep(0.4)
        client.close()
        return broken

    def _broken(self, fleet: SoakFleet) -> list[str]:
        settings = fleet.nodes[0].settings
        runs = [run for node in fleet.nodes for run in node.backend.soak_runs]
        most = max(RATES) * (settings.quota_window_s + 1.0)
        allowed = most * (1.0 + settings.quota_overage) + settings.quota_slack_calls
        return [
            *checks.repeated_runs(self.outcomes, runs),
            *checks.false_refusals(self.outcomes, runs),
            *checks.foreign_answers(self.outcomes),
            *checks.late_uses(self.revocations, runs, settings.revoke_ms / 1e3),
            *checks.runs_after_leave(fleet.leaves, runs, settings.drain_ms / 1e3),
            *checks.excess_windows(
                runs,
                team="steady",
                window_s=settings.quota_window_s,
                allowed=allowed,
            ),
        ]

    def summary(self) -> str:
        """Return how the requests ended, by status."""
        counts: dict[int, int] = {}
        for one in self.outcomes:
            counts[one.status] = counts.get(one.status, 0) + 1
        return (
            f"{len(self.outcomes)} requests, by status {dict(sorted(counts.items()))}"
        )


async def _cut_off_from_store(fleet: SoakFleet, node: Node) -> None:
    name = f"{node.name}/store"
    await asyncio.to_thread(fleet.proxy.refuse, name)
    await asyncio.to_thread(fleet.proxy.cut, name)
    await asyncio.sleep(CUT_OFF_S)
    await asyncio.to_thread(fleet.proxy.refuse, name, False)


def _client(fleet: SoakFleet, node: Node) -> BackendClient:
    return BackendClient(
        fleet.addresses[node.name],
        clock=Clock(),
        body_limit_bytes=100_000,
        options=ClientOptions(
            connect_timeout_ms=500, min_idle_ms=0, forwards_host=True
        ),
    )


def run_seed(
    seed: int, seconds: float, directory: pathlib.Path
) -> tuple[str, list[str]]:
    """Play one seed; return a summary and the broken promises."""
    soak = Soak(seed, seconds, directory)
    broken = asyncio.run(soak.run())
    return soak.summary(), broken


def main() -> int:
    """Play seeds and print what each one broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    values = parser.parse_args()
    failed = 0
    for seed in range(values.seed, values.seed + values.count):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        summary, broken = run_seed(seed, values.seconds, directory)
        failed += bool(broken)
        print(f"seed {seed}: {len(broken)} broken; {summary}; logs in {directory}")
        for line in broken[:20]:
            print(f"  {line}")
        sys.stdout.flush()
    return 1 if failed else 0
