"""Admitted calls of each team over the last minute."""

import collections

from eelgrassweir.clock import Clock

WINDOW_S = 60


class UsageMeter:
    """Count admitted calls by team and second over a sliding window."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seconds: collections.deque[tuple[int, collections.Counter[str]]] = (
            collections.deque(maxlen=WINDOW_S)
        )

    def record(self, team: str) -> None:
        """Count one admitted call."""
        second = int(self._clock.now_ms() // 1_000)
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append((second, collections.Counter()))
        self._seconds[-1][1][team] += 1

    def rates(self) -> dict[str, float]:
        """Return admitted calls per second by team over the last minute."""
        oldest = int(self._clock.now_ms() // 1_000) - WINDOW_S
        totals: collections.Counter[str] = collections.Counter()
        for second, counts in list(self._seconds):
            if second > oldest:
                totals.update(counts)
        return {team: count / WINDOW_S for team, count in totals.items()}
