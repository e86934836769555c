"""Newest configuration of a daemon and the latest deltas that lead to it."""

import zlib
from collections import OrderedDict
from collections.abc import Sequence

from returns.result import Failure, Result, Success

from eelgrassweir.config.delta import apply_delta, make_delta
from eelgrassweir.config.document import (
    EMPTY_DOCUMENT,
    ConfigDocument,
    dump_document,
    parse_document,
)
from eelgrassweir.errors import StepError
from eelgrassweir.proto.control_pb2 import ConfigUpdate

MAX_KEPT_DELTAS = 32
# The store holds values up to 1 MB; the limit keeps a faulty peer from making
# a daemon decompress more.
MAX_DOCUMENT_BYTES = 2_000_000


class ConfigLog:
    """Hold the newest document; its version never decreases."""

    def __init__(self) -> None:
        self.document: ConfigDocument | None = None
        self.rejected_old_updates = 0
        self.conflicting_updates = 0
        self._deltas: OrderedDict[int, ConfigUpdate] = OrderedDict()
        self._full_update: ConfigUpdate | None = None

    @property
    def version(self) -> int:
        """Return the version of the document; 0 without one."""
        return 0 if self.document is None else self.document.version

    def apply(self, document: ConfigDocument, peer: str) -> Result[bool, StepError]:
        """Apply ``document`` if its version is newer; return whether it was.

        Fail if ``document`` has the current version with other contents.
        """
        if document.version < self.version:
            self.rejected_old_updates += 1
            return Success(False)
        if document.version == self.version:
            return self._compare(document, peer)
        delta = make_delta(self.document or EMPTY_DOCUMENT, document)
        self._append(document, delta)
        return Success(True)

    def apply_update(self, update: ConfigUpdate, peer: str) -> Result[bool, StepError]:
        """Apply a delta or a full document from a peer, if it is newer.

        Fail if the delta has another base version or the payload is invalid.
        """
        if update.version < self.version:
            self.rejected_old_updates += 1
            return Success(False)
        if update.version == self.version and update.base_version:
            return Success(False)
        if update.base_version not in (0, self.version):
            reason = f"delta from {update.base_version} to {update.version}"
            reason += f" does not apply to version {self.version}"
            return Failure(StepError("take configuration", peer, reason))
        return (
            _decompress(update.payload_zlib, peer)
            .bind(lambda payload: self._decode(update, payload))
            .bind(lambda document: self._apply_decoded(update, document, peer))
        )

    def updates_for(self, version: int) -> Sequence[ConfigUpdate]:
        """Return the updates that lead from ``version`` to the newest.

        These are the kept deltas, or the full document if it is smaller or a
        delta has been evicted.
        """
        if version >= self.version:
            return ()
        full = self._make_full_update()
        chain: list[ConfigUpdate] = []
        size_bytes = 0
        while version != self.version:
            update = self._deltas.get(version)
            if update is None:
                return (full,)
            chain.append(update)
            size_bytes += len(update.payload_zlib)
            version = update.version
        return chain if size_bytes < len(full.payload_zlib) else (full,)

    def _decode(
        self, update: ConfigUpdate, payload: bytes
    ) -> Result[ConfigDocument, StepError]:
        if update.base_version == 0:
            return parse_document(payload)
        assert self.document is not None
        return apply_delta(self.document, payload)

    def _apply_decoded(
        self, update: ConfigUpdate, document: ConfigDocument, peer: str
    ) -> Result[bool, StepError]:
        if document.version != update.version:
            reason = f"version {document.version} was sent as {update.version}"
            return Failure(StepError("take configuration", peer, reason))
        return self.apply(document, peer)

    def _compare(self, document: ConfigDocument, peer: str) -> Result[bool, StepError]:
        if self.document == document:
            return Success(False)
        self.conflicting_updates += 1
        reason = f"version {document.version} has two different documents"
        return Failure(StepError("take configuration", peer, reason))

    def _append(self, document: ConfigDocument, delta: bytes) -> None:
        if self.document is not None:
            self._deltas[self.version] = ConfigUpdate(
                version=document.version,
                base_version=self.version,
                payload_zlib=zlib.compress(delta),
            )
        while len(self._deltas) > MAX_KEPT_DELTAS:
            self._deltas.popitem(last=False)
        self.document = document
        self._full_update = None

    def _make_full_update(self) -> ConfigUpdate:
        if self._full_update is None:
            assert self.document is not None
            self._full_update = ConfigUpdate(
                version=self.version,
                payload_zlib=zlib.compress(dump_document(self.document)),
            )
        return self._full_update


def _decompress(payload: bytes, peer: str) -> Result[bytes, StepError]:
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(payload, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        return Failure(StepError("unpack configuration", peer, str(error)))
    if decompressor.unconsumed_tail or not decompressor.eof:
        reason = f"truncated or above {MAX_DOCUMENT_BYTES} bytes decompressed"
        return Failure(StepError("unpack configuration", peer, reason))
    return Success(found)
