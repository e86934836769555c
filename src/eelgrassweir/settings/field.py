"""Description of one settings field, used by the generated modules."""

import attrs


@attrs.frozen(kw_only=True)
class Field:
    """Describe the values that one settings field may hold.

    ``kind`` is the JSON schema type: ``string``, ``integer``, ``number``,
    ``boolean`` or ``array`` (of strings). ``minimum`` and ``maximum``, both
    inclusive, are set for numbers; ``pattern`` is set for strings and items of
    arrays.
    """

    name: str
    kind: str
    required: bool
    minimum: int | None = None
    maximum: int | None = None
    pattern: str | None = None
