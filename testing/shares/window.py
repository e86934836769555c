"""Exact check of the bound on admitted calls in any window."""

from collections.abc import Sequence
from fractions import Fraction


def worst_excess(
    admitted_ms: Sequence[float], rate_per_s: float, burst_calls: int
) -> Fraction:
    """Return the most calls by which any window exceeds rate x t + burst."""
    rate_per_ms = Fraction(rate_per_s) / 1000
    lowest: Fraction | None = None
    worst = Fraction(-burst_calls)
    for count, at_ms in enumerate(sorted(admitted_ms)):
        # Calls before this one, less what the rate has allowed up to it.
        line = count - rate_per_ms * Fraction(at_ms)
        lowest = line if lowest is None else min(lowest, line)
        worst = max(worst, line + 1 - lowest - burst_calls)
    return worst
