"""Description of one field of the settings."""

import attrs


@attrs.frozen(kw_only=True)
class Field:
    """Describe what one field of the settings may hold."""

    name: str
    kind: str
    required: bool
    minimum: int | None = None
    maximum: int | None = None
    pattern: str | None = None
