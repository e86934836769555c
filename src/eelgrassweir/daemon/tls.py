"""TLS between daemons and towards callers, from files that may change."""

import pathlib
import ssl

import attrs
import grpc

from eelgrassweir.errors import StepError
from eelgrassweir.settings.generated import Settings

# Daemons are addressed by IP number and replaced often, so their certificates
# carry this name instead of addresses.


@attrs.frozen
class KeyFiles:
    """Name the files of one certificate; the authorities may be absent."""

    cert: pathlib.Path
    key: pathlib.Path
    ca: pathlib.Path | None = None

    def stamp(self) -> tuple[float, ...]:
        """Return what changes when a file is replaced."""
        paths = (self.cert, self.key, self.ca)
        return tuple(path.stat().st_mtime_ns for path in paths if path is not None)


class ReloadingContext:
    """Own one TLS context and load its files again after they changed."""

    def __init__(self, files: KeyFiles, purpose: ssl.Purpose) -> None:
        self._files = files
        # Named authorities replace those of the system.
        self.context = ssl.create_default_context(purpose, cafile=files.ca)
        if files.ca is not None:
            self.context.verify_mode = ssl.CERT_REQUIRED
        self._stamp: tuple[float, ...] = ()
        self.reload()

    def reload(self) -> bool:
        """Load changed files; new connections use them.

        :raises StepError: if a file cannot be read or does not fit the others
        """
        try:
            stamp = self._files.stamp()
            if stamp == self._stamp:
                return False
            self.context.load_cert_chain(self._files.cert, self._files.key)
            if self._files.ca is not None:
                self.context.load_verify_locations(self._files.ca)
        except (OSError, ssl.SSLError) as error:
            raise StepError("load TLS files", str(self._files.cert), str(error)) from (
                error
            )
        self._stamp = stamp
        return True


class FleetTls:
    """Hold the contexts of one daemon; plain TCP where no files are named."""

    def __init__(self, settings: Settings) -> None:
        self._fleet_files = fleet_files(settings)
        self.link_server: ReloadingContext | None = None
        self.link_client: ReloadingContext | None = None
        self.ingress: ReloadingContext | None = None
        if self._fleet_files is not None:
            self.link_server = ReloadingContext(
                self._fleet_files, ssl.Purpose.CLIENT_AUTH
            )
            self.link_client = ReloadingContext(
                self._fleet_files, ssl.Purpose.SERVER_AUTH
            )
        if settings.ingress_cert_path:
            files = KeyFiles(
                pathlib.Path(settings.ingress_cert_path),
                pathlib.Path(settings.ingress_key_path),
            )
            self.ingress = ReloadingContext(files, ssl.Purpose.CLIENT_AUTH)

    def reload(self) -> int:
        """Load all changed files; return the number of contexts renewed."""
        contexts = (self.link_server, self.link_client, self.ingress)
        return sum(context.reload() for context in contexts if context is not None)

    def channel_credentials(self) -> grpc.ChannelCredentials | None:
        """Return credentials for a new channel, from the current files."""
        if self._fleet_files is None:
            return None
        return grpc.ssl_channel_credentials(*_read_pem(self._fleet_files))

    def server_credentials(self) -> grpc.ServerCredentials | None:
        """Return credentials that follow the files while the server runs."""
        files = self._fleet_files
        if files is None:
            return None
        seen = files.stamp()

        def fetch() -> grpc.ServerCertificateConfiguration | None:
            nonlocal seen
            stamp = files.stamp()
            if stamp == seen:
                return None
            seen = stamp
            return _server_configuration(files)

        return grpc.dynamic_ssl_server_credentials(
            _server_configuration(files), fetch, require_client_authentication=True
        )


def fleet_files(settings: Settings) -> KeyFiles | None:
    """Return the files for TLS between daemons, if the settings name them."""
    paths = (
        settings.fleet_cert_path,
        settings.fleet_key_path,
        settings.fleet_ca_path,
    )
    if not any(paths):
        return None
    if not all(paths):
        reason = "fleet_cert_path, fleet_key_path and fleet_ca_path go together"
        raise StepError("load TLS files", settings.vm, reason)
    cert, key, ca = (pathlib.Path(path) for path in paths)
    return KeyFiles(cert, key, ca)


def _read_pem(files: KeyFiles) -> tuple[bytes, bytes, bytes]:
    assert files.ca is not None
    return files.ca.read_bytes(), files.key.read_bytes(), files.cert.read_bytes()


def _server_configuration(files: KeyFiles) -> grpc.ServerCertificateConfiguration:
    authorities, key, cert = _read_pem(files)
    return grpc.ssl_server_certificate_configuration([(key, cert)], authorities)
