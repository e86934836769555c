"""Retry budgets: per request tree and per service."""

import collections
import math

import attrs

WINDOW_MS = 10_000.0
BUCKET_MS = 1_000.0
# Allows retries to services with little traffic.
SPARE_RETRIES = 10


class RetryBudget:
    """Retries that one call and its child calls may still make.

    Splitting the budget among child calls bounds the retries of the whole
    request tree, which would otherwise multiply with its depth.
    """

    def __init__(self, left_calls: int) -> None:
        self.left_calls = max(0, left_calls)
        self._lent_calls = 0

    def take(self) -> bool:
        """Use one retry; return False if none is left."""
        if self.left_calls <= 0:
            return False
        self.left_calls -= 1
        return True

    def split(self) -> int:
        """Lend half of the remaining retries, rounded down, to a child."""
        lent_calls = self.left_calls // 2
        self.left_calls -= lent_calls
        self._lent_calls += lent_calls
        return lent_calls

    def give_back(self, unused: int) -> None:
        """Take back the retries that a child call did not use.

        At most as many as were lent are added.
        """
        returned_calls = min(max(0, unused), self._lent_calls)
        self._lent_calls -= returned_calls
        self.left_calls += returned_calls


@attrs.define
class _Bucket:
    start_ms: float
    first_calls: int = 0
    successes: int = 0
    retries: int = 0


class RetryRatio:
    """Limit the retries to each service to a share of its first attempts.

    The share is taken of the lower of first attempts and successes in the last
    10 s, so a service that fails all calls gets only the spare retries.

    ``rounding`` from 0 to 1 is added to the allowed retries before they are
    rounded down. Many daemons with little traffic, each with another one, use
    the whole of their common budget.
    """

    def __init__(
        self,
        *,
        percent: float = 10,
        spare_retries: float = SPARE_RETRIES,
        rounding: float = 0.0,
    ) -> None:
        self._percent = percent
        self._spare_retries = spare_retries
        self._rounding = rounding
        self._services: dict[str, collections.deque[_Bucket]] = {}

    def set_spare_retries(self, spare_retries: float) -> None:
        """Set the number of retries allowed without earlier successes."""
        self._spare_retries = spare_retries

    def record_first(self, service: str, now_ms: float) -> None:
        """Count the first attempt of a call."""
        self._bucket(service, now_ms).first_calls += 1

    def record_success(self, service: str, now_ms: float) -> None:
        """Count a call that received its response."""
        self._bucket(service, now_ms).successes += 1

    def take(self, service: str, now_ms: float) -> bool:
        """Use one retry; return False if the ratio does not allow it."""
        current = self._bucket(service, now_ms)
        buckets = self._services[service]
        first_calls = sum(bucket.first_calls for bucket in buckets)
        successes = sum(bucket.successes for bucket in buckets)
        retries = sum(bucket.retries for bucket in buckets)
        earned = min(first_calls, successes) * self._percent / 100.0
        if retries >= math.floor(earned + self._spare_retries + self._rounding):
            return False
        current.retries += 1
        return True

    def _bucket(self, service: str, now_ms: float) -> _Bucket:
        buckets = self._services.setdefault(service, collections.deque())
        while buckets and now_ms - buckets[0].start_ms >= WINDOW_MS:
            buckets.popleft()
        if not buckets or now_ms - buckets[-1].start_ms >= BUCKET_MS:
            buckets.append(_Bucket(start_ms=now_ms))
        return buckets[-1]
