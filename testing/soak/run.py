"""One soak: start a fleet, send requests, inject faults, run the checks."""

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
from testing.soak.faults import FaultContext, inject_faults, make_schedule
from testing.soak.fleet import Node, SoakFleet

NODE_SERVICES = ["notes", "lists", "notes", "lists"]
KEYS = {"steady": "key-steady", "gone": "key-gone"}
ROUTES = {
    "/notes/safe/": ("notes", "safe"),
    "/notes/unsafe/": ("notes", "unsafe"),
    "/lists/safe/": ("lists", "safe"),
    "/lists/unsafe/": ("lists", "unsafe"),
}
# Below the rate at which the callers send, so that a daemon that exceeds the
# rate of a team is noticed.
RATES_PER_S = (10.0, 15.0, 25.0)
CALLERS_PER_NODE = 4
REQUEST_TIMEOUT_MS = 4_000.0
READY_TIMEOUT_S = 15.0
# One daemon is disconnected from the store while a key is revoked, for longer
# than a revoked key may work.
STORE_OUTAGE_S = 8.0
# Time after the last fault for leases to expire, share holders to end their
# waiting time and ejected targets to return.
RECOVERY_S = 10.0
# Time in which a team's token bucket refills after the load.
REFILL_S = 1.5
FINAL_REQUESTS = 8


@attrs.define(eq=False)
class Soak:
    """One run of a seed with what it has observed."""

    seed: int
    duration_s: float
    directory: pathlib.Path
    outcomes: list[Outcome] = attrs.field(factory=list)
    revocations: list[Revocation] = attrs.field(factory=list)
    version: int = 0
    rate_per_s: float = RATES_PER_S[-1]
    request_count: int = 0
    is_ending: bool = False

    async def run(self) -> list[str]:
        """Run the seed and return the violations that the checks found."""
        fleet = SoakFleet(self.directory)
        context = FaultContext(fleet)
        schedule = make_schedule(self.seed, self.duration_s, len(NODE_SERVICES))
        (self.directory / "schedule.txt").write_text("\n".join(map(str, schedule)))
        try:
            self._write_configuration(fleet)
            await fleet.start(NODE_SERVICES)
            await self._wait_until_ready(fleet)
            callers = [
                asyncio.create_task(self._run_caller(fleet, node, number))
                for node in fleet.nodes
                for number in range(CALLERS_PER_NODE)
            ]
            config_changes = asyncio.create_task(self._change_configuration(fleet))
            await inject_faults(context, schedule)
            await config_changes
            await asyncio.sleep(RECOVERY_S)
            self.is_ending = True
            await asyncio.gather(*callers)
            # Until now the callers have sent above the rate.
            await asyncio.sleep(REFILL_S)
            unserved = await self._find_unserved(fleet)
            return context.violations + self._find_violations(fleet) + unserved
        finally:
            await fleet.stop()

    def _write_configuration(self, fleet: SoakFleet) -> None:
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
        """Change rates at regular intervals and revoke one key halfway.

        One daemon is disconnected from the store just before that.
        """
        rng = random.Random(f"{self.seed} configuration")
        steps = 6
        async with asyncio.TaskGroup() as group:
            for step in range(1, steps + 1):
                await asyncio.sleep(self.duration_s / steps)
                self.rate_per_s = (
                    rng.choice(RATES_PER_S) if step < steps else RATES_PER_S[-1]
                )
                if step == steps // 2:
                    node = rng.choice(fleet.nodes)
                    group.create_task(_disconnect_from_store(fleet, node))
                    await asyncio.sleep(0.1)
                    revocation = Revocation(team="gone", revoked_s=time.monotonic())
                    self.revocations.append(revocation)
                self._write_configuration(fleet)

    async def _wait_until_ready(self, fleet: SoakFleet) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in fleet.nodes:
                while not await self._is_ready(fleet, node):
                    await asyncio.sleep(0.1)

    async def _is_ready(self, fleet: SoakFleet, node: Node) -> bool:
        try:
            state = await fleet.read_dump(node)
        except (OSError, AssertionError):
            return False
        members = state["members"].values()
        ready = [one for one in members if one[1] == READY]
        return bool(state["is_ready"]) and len(ready) == len(fleet.nodes)

    async def _run_caller(self, fleet: SoakFleet, node: Node, number: int) -> None:
        rng = random.Random(f"{self.seed} {node.name} {number}")
        client = _make_client(fleet, node)
        while not self.is_ending:
            team = rng.choice(list(KEYS))
            outcome = await self._call(client, rng.choice(list(ROUTES)), team)
            self.outcomes.append(outcome)
            await asyncio.sleep(rng.uniform(0.02, 0.2))
        client.close()

    async def _call(self, client: BackendClient, path: str, team: str) -> Outcome:
        self.request_count += 1
        request_id = f"{self.seed}-{self.request_count}"
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
            response = await client.exchange(
                HttpRequest(method, path, headers, b""), timeout_ms=REQUEST_TIMEOUT_MS
            )
            status, body = response.status, response.body
        except (ExchangeError, OSError):
            # Status 0: the request may or may not have run. The checks use
            # the runs that the backend servers recorded.
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

    async def _find_unserved(self, fleet: SoakFleet) -> list[str]:
        """Return the requests not served although all faults are over."""
        unserved = await asyncio.gather(
            *(self._find_unserved_at(fleet, node) for node in fleet.nodes)
        )
        return [line for lines in unserved for line in lines]

    async def _find_unserved_at(self, fleet: SoakFleet, node: Node) -> list[str]:
        client = _make_client(fleet, node)
        violations = []
        for _ in range(FINAL_REQUESTS):
            outcome = await self._call(client, "/notes/safe/", "steady")
            if outcome.status != 200:
                violations.append(
                    f"{outcome.request_id} at {node.name} got {outcome.status} "
                    "after all faults were over"
                )
            # The requests of all nodes together stay below the lowest rate.
            await asyncio.sleep(0.4)
        client.close()
        return violations

    def _find_violations(self, fleet: SoakFleet) -> list[str]:
        settings = fleet.nodes[0].settings
        runs = [run for node in fleet.nodes for run in node.backend.timed_runs]
        max_rate_calls = max(RATES_PER_S) * (settings.quota_window_s + 1.0)
        max_calls = (
            max_rate_calls * (1.0 + settings.quota_overage) + settings.quota_slack_calls
        )
        return [
            *checks.find_repeated_runs(self.outcomes, runs),
            *checks.find_refused_but_executed(self.outcomes, runs),
            *checks.find_mismatched_responses(self.outcomes),
            *checks.find_uses_of_revoked_keys(
                self.revocations, runs, settings.revoke_ms / 1e3
            ),
            *checks.find_runs_after_drain(
                fleet.drain_announcements, runs, settings.drain_ms / 1e3
            ),
            *checks.find_rate_excess(
                runs,
                team="steady",
                window_s=settings.quota_window_s,
                max_calls=max_calls,
            ),
        ]

    def summarize(self) -> str:
        """Return the number of requests, in total and by status."""
        counts: dict[int, int] = {}
        for one in self.outcomes:
            counts[one.status] = counts.get(one.status, 0) + 1
        return (
            f"{len(self.outcomes)} requests, by status {dict(sorted(counts.items()))}"
        )


async def _disconnect_from_store(fleet: SoakFleet, node: Node) -> None:
    name = f"{node.name}/store"
    await asyncio.to_thread(fleet.proxy.refuse, name)
    await asyncio.to_thread(fleet.proxy.cut, name)
    await asyncio.sleep(STORE_OUTAGE_S)
    await asyncio.to_thread(fleet.proxy.refuse, name, False)


def _make_client(fleet: SoakFleet, node: Node) -> BackendClient:
    return BackendClient(
        fleet.addresses[node.name],
        clock=Clock(),
        body_limit_bytes=100_000,
        options=ClientOptions(
            connect_timeout_ms=500, min_idle_ms=0, forwards_host=True
        ),
    )


def run_seed(
    seed: int, duration_s: float, directory: pathlib.Path
) -> tuple[str, list[str]]:
    """Run one seed in real time and return a summary and the violations.

    ``directory`` receives the schedule and the logs of the daemons.
    """
    soak = Soak(seed, duration_s, directory)
    violations = asyncio.run(soak.run())
    return soak.summarize(), violations


def main() -> int:
    """Run seeds and print the violations of each; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        summary, violations = run_seed(seed, options.seconds, directory)
        failed += bool(violations)
        print(
            f"seed {seed}: {len(violations)} violations; {summary}; logs in {directory}"
        )
        for line in violations[:20]:
            print(f"  {line}")
        sys.stdout.flush()
    return 1 if failed else 0
