"""Guard against calls above rate and burst across daemons and holders.

Random steps duplicate, delay and lose messages, let time pass and replace
holders; none of these may create tokens.
"""

from random import Random
from typing import Any

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from eelgrassweir.proto import control_pb2
from eelgrassweir.shares.borrower import BorrowCall, Borrower, Token
from eelgrassweir.shares.holder import RateLimit, ShareHolder, split_parts
from eelgrassweir.shares.permit import Permit
from testing.shares.window import worst_excess

LIFE_MS = 1000
LEASE_MS = 4000
DOMAINS = ("bilbao", "oviedo")
TEAM = "fichero"
DELIVERIES = ["deliver", "deliver", "double", "delay", "lose_reply"]
INDEX = st.integers(0, 10**6)


@attrs.define
class HolderTerm:
    """A holder with its permit, possibly replaced without its knowledge."""

    name: str
    holder: ShareHolder
    permit: Permit


@attrs.define
class Entry:
    """An entry daemon whose clock has its own rate and origin."""

    name: str
    clock_rate: float
    clock_start_ms: float
    borrower: Borrower = attrs.field(factory=Borrower)

    def local_ms(self, now_ms: float) -> float:
        return self.clock_start_ms + now_ms * self.clock_rate


@attrs.define
class Message:
    """A request on its way to a domain, or a reply on its way back."""

    entry: Entry
    call: BorrowCall
    request: control_pb2.BorrowRequest
    reply: control_pb2.BorrowReply | None = None


class Fleet(RuleBasedStateMachine):
    """Entries and holders on a network that fails at random."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.admitted_ms: list[float] = []
        self.tokens: list[tuple[Entry, Token, float]] = []
        self.net: list[Message] = []
        self.former_terms: list[HolderTerm] = []
        self.lapse_ms = dict.fromkeys(DOMAINS, 0)
        self.terms: dict[str, HolderTerm] = {}
        self.entries: list[Entry] = []

    @initialize(rate=st.sampled_from([0.25, 5, 30, 400]), burst=st.integers(1, 40))
    def set_up(self, rate: float, burst: int) -> None:
        self.rate, self.burst = rate, burst
        self.parts = split_parts(rate, burst, DOMAINS, TEAM)
        # Clock rates within the drift that lifetimes allow for.
        self.entries = [
            Entry("a", 0.991, 0),
            Entry("b", 1.0, 7e5),
            Entry("c", 1.009, 9),
        ]
        for domain in DOMAINS:
            self.terms[domain] = self.start_term(domain, 0)
        # Long enough for buckets to fill at most of the rates.
        self.now_ms = 20_000
        for domain in DOMAINS:
            self.lapse_ms[domain] = self.now_ms + LEASE_MS
            self.terms[domain].permit.renew(sent_ms=self.now_ms, life_ms=LEASE_MS)

    def start_term(self, domain: str, count: int) -> HolderTerm:
        permit = Permit(outage_limit_ms=LEASE_MS)
        permit.set_successors(["successor/1"])
        permit.renew(sent_ms=self.now_ms, life_ms=LEASE_MS)
        self.lapse_ms[domain] = self.now_ms + LEASE_MS
        name = f"{domain}/{count}"
        holder = ShareHolder(
            epoch=name,
            grant_life_ms=LIFE_MS,
            now_ms=self.now_ms,
            parts={TEAM: self.parts[domain]},
        )
        return HolderTerm(name, holder, permit)

    @rule(
        step_ms=st.one_of(st.integers(0, 30), st.integers(0, 1000)),
        renews=st.sampled_from([True, True, True, True, False]),
        delay_ms=st.sampled_from([0, 0, 0, 5, 300]),
    )
    def advance(self, step_ms: int, renews: bool, delay_ms: int) -> None:
        """Advance the time; renewals reach the store after ``delay_ms``."""
        self.now_ms += step_ms
        sent_ms = self.now_ms
        if renews:
            self.now_ms += delay_ms
        for domain, term in self.terms.items():
            if renews and self.now_ms < self.lapse_ms[domain]:
                self.lapse_ms[domain] = self.now_ms + LEASE_MS
                term.permit.renew(sent_ms=sent_ms, life_ms=LEASE_MS)

    @rule(which=INDEX, count=st.integers(1, 60))
    def demand(self, which: int, count: int) -> None:
        entry = self.entries[which % len(self.entries)]
        local_ms = entry.local_ms(self.now_ms)
        missed = 0
        for _ in range(count):
            entry.borrower.record_demand(TEAM, local_ms)
            token = entry.borrower.take(TEAM, local_ms)
            if token is None:
                missed += 1
                continue
            self.admitted_ms.append(self.now_ms)
            self.tokens.append((entry, token, self.now_ms))
        entry.borrower.set_waiting(TEAM, missed)

    @rule(count=st.integers(1, 40))
    def refund(self, count: int) -> None:
        """Refund calls refused in queues, which do not count as admitted."""
        for _ in range(min(count, len(self.tokens) // 2)):
            entry, token, at_ms = self.tokens.pop()
            self.admitted_ms.remove(at_ms)
            entry.borrower.refund(token, entry.local_ms(self.now_ms))

    @rule(
        which=INDEX,
        count=st.integers(1, 60),
        deliveries=st.lists(st.sampled_from(DELIVERIES), min_size=2, max_size=2),
    )
    def work(self, which: int, count: int, deliveries: list[str]) -> None:
        """Serve a burst, with one kind of delivery for each planned call."""
        self.demand(which, count)
        entry = self.entries[which % len(self.entries)]
        calls = entry.borrower.plan(DOMAINS, entry.local_ms(self.now_ms))
        for call, delivery in zip(calls, deliveries, strict=False):
            message = Message(entry, call, call.message(entry.name, "1"))
            if delivery == "delay":
                self.net.append(message)
                continue
            reply = attrs.evolve(message, reply=self.answer(message, False))
            if delivery == "double":
                self.net += [message, reply]
            if delivery == "lose_reply":
                entry.borrower.settle(call, None, entry.local_ms(self.now_ms))
                continue
            self.now_ms += 1
            entry.borrower.settle(call, reply.reply, entry.local_ms(self.now_ms))
        self.demand(which, count)

    @rule(which=INDEX, is_duplicated=st.booleans(), reaches_former=st.booleans())
    def deliver(self, which: int, is_duplicated: bool, reaches_former: bool) -> None:
        if not self.net:
            return
        message = self.net[which % len(self.net)]
        if not is_duplicated:
            self.net.remove(message)
        if message.reply is None:
            reply = self.answer(message, reaches_former)
            self.net.append(attrs.evolve(message, reply=reply))
            return
        entry = message.entry
        entry.borrower.settle(message.call, message.reply, entry.local_ms(self.now_ms))

    def answer(self, message: Message, reaches_former: bool) -> control_pb2.BorrowReply:
        term = self.terms[message.call.domain]
        former = [
            s for s in self.former_terms if s.name.startswith(message.call.domain)
        ]
        if reaches_former and former:
            term = former[-1]
        reply = control_pb2.BorrowReply(holder_incarnation=term.name)
        if not term.permit.is_valid(self.now_ms):
            return reply
        reply.is_holder = True
        for report in message.request.reports:
            term.holder.report(
                message.entry.name,
                report.grant_id,
                report.spent,
                report.returned,
                self.now_ms,
            )
            term.holder.refund(
                message.entry.name, report.grant_id, report.refunded, self.now_ms
            )
        for wanted in message.request.requests:
            grant = term.holder.grant(
                message.entry.name, wanted.team, wanted.wanted, self.now_ms
            )
            reply.grants.add(**attrs.asdict(grant))
        return reply

    @rule(which=INDEX)
    def lose(self, which: int) -> None:
        if self.net:
            message = self.net.pop(which % len(self.net))
            entry = message.entry
            entry.borrower.settle(message.call, None, entry.local_ms(self.now_ms))

    @rule(domain=st.sampled_from(DOMAINS), is_graceful=st.booleans())
    def take_over(self, domain: str, is_graceful: bool) -> None:
        """Start a new holder at the lapse, or at once if stopped."""
        if is_graceful:
            self.terms[domain].permit.revoke()
        else:
            self.now_ms = max(self.now_ms, self.lapse_ms[domain])
        self.former_terms.append(self.terms[domain])
        self.terms[domain] = self.start_term(domain, len(self.former_terms))

    @rule(domain=st.sampled_from(DOMAINS), gap_ms=st.integers(0, 1500))
    def forget_team(self, domain: str, gap_ms: int) -> None:
        """Remove the team from the configuration and list it again."""
        self.terms[domain].holder.set_limits({}, self.now_ms)
        self.now_ms += gap_ms
        limit: dict[str, RateLimit] = {TEAM: self.parts[domain]}
        self.terms[domain].holder.set_limits(limit, self.now_ms)

    @invariant()
    def no_window_exceeds_the_bound(self) -> None:
        if self.admitted_ms:
            assert worst_excess(self.admitted_ms, self.rate, self.burst) <= 0


TestFleet: Any = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None, derandomize=True
)


@pytest.mark.parametrize("seed", range(40))
def test_long_walks_stay_within_the_bound(seed: int) -> None:
    """Guard against excess calls after many steps, as by use after expiry."""
    random = Random(seed)
    fleet = Fleet()
    fleet.set_up(random.choice([0.7, 5, 30, 400]), random.randint(1, 40))
    for _ in range(600):
        step(fleet, random)
    assert worst_excess(fleet.admitted_ms or [0], fleet.rate, fleet.burst) <= 0
    assert len(fleet.admitted_ms) > 0


def step(fleet: Fleet, random: Random) -> None:
    """Take one weighted random step."""
    which = random.randrange(10**6)
    count = random.choice([1, 3, 10, 50])
    steps = {
        "advance": 30,
        "work": 40,
        "demand": 10,
        "deliver": 14,
        "lose": 2,
        "refund": 6,
        "take_over": 0.5,
        "forget": 0.5,
    }
    name = random.choices(list(steps), weights=list(steps.values()))[0]
    if name == "advance":
        step_ms = random.choice([0, 1, 10, 50, 300, 950])
        fleet.advance(step_ms, random.random() < 0.9, random.choice([0, 0, 5, 2500]))
    if name == "work":
        fleet.work(which, count, random.choices(DELIVERIES, k=2))
    if name == "demand":
        fleet.demand(which, count)
    if name == "deliver":
        fleet.deliver(which, random.random() < 0.5, random.random() < 0.3)
    if name == "lose":
        fleet.lose(which)
    if name == "refund":
        fleet.refund(count)
    domain = random.choice(DOMAINS)
    is_lapsed = fleet.now_ms >= fleet.lapse_ms[domain]
    if name == "take_over" or is_lapsed:
        fleet.take_over(domain, not is_lapsed and random.random() < 0.5)
    if name == "forget":
        fleet.forget_team(domain, random.randrange(1500))
