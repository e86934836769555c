"""The configuration document and the way of a change: plan, confirm, commit.

Documents, deltas, intents and plans are values; only ``commit`` uses the
store. Modules must not import from ``daemon``, ``mesh`` or ``cli``.
"""
