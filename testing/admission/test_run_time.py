"""Guard against wrong reports of the speed of a backend server."""

from eelgrassweir.admission.run_time import RunTimes


def test_mean_follows_a_change_of_speed_within_seconds() -> None:
    """Guard against a slow target that is still reported as fast."""
    times = RunTimes()
    assert times.service_ms(0.0) == 0.0
    for number in range(200):
        run_ms = 100.0 if number < 100 else 500.0
        times.record_answer(run_ms, 20.0 * number, is_failed=False)
    assert times.service_ms(4_000.0) > 390.0
    assert times.service_ms(30_000.0) == 0.0


def test_failed_runs_are_no_samples() -> None:
    """Guard against a failing target that looks fast."""
    times = RunTimes()
    times.record_answer(100.0, 0.0, is_failed=False)
    times.record_answer(1.0, 0.0, is_failed=True)
    assert times.service_ms(0.0) == 100.0


def test_stall_is_reported_while_runs_are_in_progress() -> None:
    """Guard against idle times and usual runs reported as stalls."""
    times = RunTimes()
    times.record_start(0.0)
    assert times.stalled_ms(5_000.0) == 0.0
    times.record_answer(100.0, 100.0, is_failed=False)
    times.record_end()
    assert times.stalled_ms(2_000.0) == 0.0
    times.record_start(2_000.0)
    times.record_start(2_010.0)
    assert times.stalled_ms(2_150.0) == 0.0
    assert times.stalled_ms(2_400.0) == 400.0
    times.record_answer(400.0, 2_400.0, is_failed=True)
    times.record_end()
    assert times.stalled_ms(2_450.0) == 0.0
