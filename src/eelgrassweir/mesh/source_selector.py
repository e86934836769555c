"""Select the daemon to follow among those that are usable now."""

from collections.abc import Sequence

from eelgrassweir.clock import Clock
from eelgrassweir.membership.sources import SourcePlan, plan_sources
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto.control_pb2 import Member

# A source that failed or has no recent proof is left out for this time.
EXCLUSION_MS = 1_000.0


class SourceSelector:
    """Keep the plan in step with the members and skip failed sources."""

    def __init__(
        self, *, vm: str, failure_domain: str, members: MemberTable, clock: Clock
    ) -> None:
        self._vm = vm
        self._failure_domain = failure_domain
        self._members = members
        self._clock = clock
        self._plan: SourcePlan | None = None
        self._excluded_until_ms: dict[str, float] = {}
        members.subscribe(self._invalidate_plan)

    @property
    def is_reader(self) -> bool:
        """Return whether this daemon reads the store for others."""
        return self._get_plan().is_reader

    def choose(self) -> Member | None:
        """Return the preferred source that is not excluded, or None."""
        return next(iter(self.list_usable()), None)

    def list_usable(self) -> Sequence[Member]:
        """Return the sources that are not excluded, in their order."""
        now_ms = self._clock.now_ms()
        return [
            member
            for member in self._get_plan().sources
            if self._excluded_until_ms.get(member.incarnation, 0.0) <= now_ms
        ]

    def exclude(self, member: Member) -> None:
        """Leave a source out for some time."""
        now_ms = self._clock.now_ms()
        self._excluded_until_ms = {
            incarnation: until_ms
            for incarnation, until_ms in self._excluded_until_ms.items()
            if until_ms > now_ms
        }
        self._excluded_until_ms[member.incarnation] = now_ms + EXCLUSION_MS

    def _get_plan(self) -> SourcePlan:
        if self._plan is None:
            self._plan = plan_sources(
                self._members.all(), vm=self._vm, failure_domain=self._failure_domain
            )
        return self._plan

    def _invalidate_plan(self, _member: Member) -> None:
        self._plan = None
