"""Guard against a failing backend server that looks like a sound one."""

import pytest

from eelgrassweir.admission.failures import HALF_LIFE_MS, FailureRate


@pytest.mark.parametrize("every", [2, 4])
def test_share_approaches_the_part_of_runs_that_fail(every: int) -> None:
    failures = FailureRate()
    for number in range(400):
        failures.record(failed=number % every == 0, now_ms=number)
    assert failures.rate(400.0) == pytest.approx(1 / every, abs=0.05)


def test_share_fades_without_runs() -> None:
    """A target that gets nothing could never show that it is sound again."""
    failures = FailureRate()
    for _ in range(100):
        failures.record(failed=True, now_ms=0.0)
    assert failures.rate(2 * HALF_LIFE_MS) == pytest.approx(0.25, abs=0.01)
