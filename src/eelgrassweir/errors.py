"""Errors that carry the step and the peer at which they arose."""

import attrs


@attrs.frozen
class StepError(Exception):
    """Report a failure with the step and the peer at which it arose."""

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.reason}"
