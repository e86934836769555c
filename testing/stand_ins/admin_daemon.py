"""Admin listener of a minimal daemon, for the tests of admin and CLI."""

from collections.abc import Mapping
from typing import Any

from prometheus_client import CollectorRegistry

from eelgrassweir.clock import Clock
from eelgrassweir.config.commit import commit_change, read_config
from eelgrassweir.config.document import ConfigDocument
from eelgrassweir.daemon.admin import AdminServer, AdminSources
from eelgrassweir.store.client import StoreClient

ISOLATION_LIMIT_MS = 10_000


class AdminDaemon:
    """Admin interface on top of a store, as a relay serves it.

    Tests set ``usage`` and ``lagging``, the daemons that report an older
    version; the fleet has three daemons.
    """

    def __init__(self, store_url: str, *, token: str = "", port: int = 0) -> None:
        self.store = StoreClient([store_url], timeout_ms=500)
        self.document: ConfigDocument | None = None
        self.usage: dict[str, float] = {}
        self.lagging: list[str] = []
        self.server = AdminServer(
            ("127.0.0.1", port),
            AdminSources(
                dump=lambda: {"teams": len(self._get_document().teams)},
                status=self._status,
                config=lambda: self.document,
                commit=self._commit,
                usage=lambda: self.usage,
            ),
            clock=Clock(),
            isolation_limit_ms=ISOLATION_LIMIT_MS,
            token=token,
            registry=CollectorRegistry(),
        )
        host, port = self.server.start()
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop the listener and the store client."""
        self.server.stop()
        self.store.close()

    def refresh(self) -> None:
        """Read the configuration from the store and keep the newer one."""
        stored = read_config(self.store).unwrap()
        if self.document is None or stored.document.version > self.document.version:
            self.document = stored.document

    def _get_document(self) -> ConfigDocument:
        assert self.document is not None
        return self.document

    def _status(self) -> Mapping[str, Any]:
        version = 0 if self.document is None else self.document.version
        counts = [{"version": version, "daemons": 3 - len(self.lagging)}]
        if self.lagging:
            counts.append({"version": version - 1, "daemons": len(self.lagging)})
        return {
            "vm": "vm-1",
            "config_version": version,
            "is_fresh": True,
            "store_reached": True,
            "fleet": {"counts": counts, "lagging": self.lagging, "daemons_known": 3},
        }

    def _commit(self, base_version: int, plan_id: str, document: bytes) -> Any:
        outcome = commit_change(
            self.store,
            base_version=base_version,
            change_id=plan_id,
            document_json=document,
        ).unwrap()
        if outcome.version:
            self.refresh()
        return outcome.result, outcome.version
