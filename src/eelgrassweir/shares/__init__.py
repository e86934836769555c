"""Token buckets of teams and the rules for holding a failure domain's share.

Holds both sides of token lending (``holder`` and ``borrower``, and ``credit``
for the mesh), the holder's permit and its record in the store. Nothing here
does input or output or starts a thread. Modules must not import from
``daemon``, ``mesh`` or ``cli``.
"""
