"""A refused call, as it goes to the caller."""

import attrs


@attrs.frozen(kw_only=True)
class Refusal:
    """Say why a call was refused and whether it was run."""

    code: str
    not_run: bool
    reason: str
    step: str
    peer: str
    retry_after_ms: int = 0
    ticket: str = ""
