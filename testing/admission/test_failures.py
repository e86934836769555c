"""Guard against a failing backend server that is taken for a healthy one."""

import pytest

from eelgrassweir.admission.failures import HALF_LIFE_MS, FailureRate


@pytest.mark.parametrize("every", [2, 4])
def test_rate_converges_to_the_share_of_failed_runs(every: int) -> None:
    """Guard against a failure rate that is biased at a steady load."""
    failures = FailureRate()
    for number in range(400):
        failures.record(failed=number % every == 0, now_ms=number)
    assert failures.rate(400.0) == pytest.approx(1 / every, abs=0.05)


def test_rate_decays_without_runs() -> None:
    """Guard against a target that is avoided for good.

    Without calls it could never show that it has recovered.
    """
    failures = FailureRate()
    for _ in range(100):
        failures.record(failed=True, now_ms=0.0)
    assert failures.rate(2 * HALF_LIFE_MS) == pytest.approx(0.25, abs=0.01)
