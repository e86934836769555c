"""TLS between daemons and towards callers, with reload of changed files."""

import pathlib
import ssl

import attrs
import grpc

from eelgrassweir.errors import StepError
from eelgrassweir.settings.generated import Settings


@attrs.frozen
class KeyFiles:
    """Files of one certificate; ``ca`` names trusted authorities, if any."""

    cert: pathlib.Path
    key: pathlib.Path
    ca: pathlib.Path | None = None

    def modification_times_ns(self) -> tuple[float, ...]:
        """Return the modification times of the files in ns."""
        paths = (self.cert, self.key, self.ca)
        return tuple(path.stat().st_mtime_ns for path in paths if path is not None)


class ReloadingContext:
    """TLS context that reloads its files after they have changed."""

    def __init__(self, files: KeyFiles, purpose: ssl.Purpose) -> None:
        self._files = files
        # The given authorities replace those of the system.
        self.context = ssl.create_default_context(purpose, cafile=files.ca)
        if files.ca is not None:
            self.context.verify_mode = ssl.CERT_REQUIRED
        self._loaded_times_ns: tuple[float, ...] = ()
        self.reload()

    def reload(self) -> bool:
        """Reload changed files for new connections; return whether any had.

        :raises StepError: if a file cannot be read or does not fit the others
        """
        try:
            times_ns = self._files.modification_times_ns()
            if times_ns == self._loaded_times_ns:
                return False
            self.context.load_cert_chain(self._files.cert, self._files.key)
            if self._files.ca is not None:
                self.context.load_verify_locations(self._files.ca)
        except (OSError, ssl.SSLError) as error:
            raise StepError("load TLS files", str(self._files.cert), str(error)) from (
                error
            )
        self._loaded_times_ns = times_ns
        return True


class FleetTls:
    """TLS contexts of one daemon; None where the settings name no files."""

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
        """Reload all changed files; return the number of renewed contexts.

        :raises StepError: if a file cannot be read or does not fit the others
        """
        contexts = (self.link_server, self.link_client, self.ingress)
        return sum(context.reload() for context in contexts if context is not None)

    def channel_credentials(self) -> grpc.ChannelCredentials | None:
        """Return credentials for a new channel from the current files."""
        if self._fleet_files is None:
            return None
        return grpc.ssl_channel_credentials(*_read_pem(self._fleet_files))

    def server_credentials(self) -> grpc.ServerCredentials | None:
        """Return credentials that reload the files while the server runs."""
        files = self._fleet_files
        if files is None:
            return None
        seen_ns = files.modification_times_ns()

        def fetch() -> grpc.ServerCertificateConfiguration | None:
            nonlocal seen_ns
            times_ns = files.modification_times_ns()
            if times_ns == seen_ns:
                return None
            seen_ns = times_ns
            return _server_configuration(files)

        return grpc.dynamic_ssl_server_credentials(
            _server_configuration(files), fetch, require_client_authentication=True
        )


def fleet_files(settings: Settings) -> KeyFiles | None:
    """Return the files for TLS between daemons, or None without them.

    :raises StepError: if the settings name only some of the files
    """
    paths = (
        settings.fleet_cert_path,
        settings.fleet_key_path,
        settings.fleet_ca_path,
    )
    if not any(paths):
        return None
    if not all(paths):
        reason = "set all of fleet_cert_path, fleet_key_path, fleet_ca_path or none"
        raise StepError("load TLS files", settings.vm, reason)
    cert, key, ca = (pathlib.Path(path) for path in paths)
    return KeyFiles(cert, key, ca)


def _read_pem(files: KeyFiles) -> tuple[bytes, bytes, bytes]:
    assert files.ca is not None
    return files.ca.read_bytes(), files.key.read_bytes(), files.cert.read_bytes()


def _server_configuration(files: KeyFiles) -> grpc.ServerCertificateConfiguration:
    authorities, key, cert = _read_pem(files)
    return grpc.ssl_server_certificate_configuration([(key, cert)], authorities)
