"""Error type of operations that can fail at a peer."""

import attrs


@attrs.frozen
class StepError(Exception):
    """Failure of a step at a peer, with the reason."""

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.reason}"
