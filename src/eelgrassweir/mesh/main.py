"""Command line of the daemon on the platform.

The only module of the mesh that imports ``eelgrassweir.platform``.
"""

import argparse
import contextlib
import math
import os
import pathlib
import sys
from collections.abc import Mapping
from typing import NoReturn

import uvloop
from eliot import add_destinations, log_message, write_traceback
from returns.result import Failure, Result

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.allocator import map_large_buffers
from eelgrassweir.daemon.held_bytes import (
    DEFAULT_MEMORY_MB,
    HeldBytes,
    compute_limit_bytes,
)
from eelgrassweir.mesh.adapter import PlatformAdapter
from eelgrassweir.mesh.app import Application
from eelgrassweir.mesh.library_logs import log_library_messages
from eelgrassweir.mesh.log_output import LogOutput
from eelgrassweir.platform import configuration, messages
from eelgrassweir.platform.store import PlatformStore
from eelgrassweir.settings.loader import SettingsError, load_settings_as
from eelgrassweir.settings.mesh_generated import FIELDS, MeshSettings

# The platform names the settings file in this variable.
SETTINGS_VARIABLE = "EELGRASSWEIR_BOOT"
# The deploy file gives the memory of the VM in this variable, in MB.
MEMORY_VARIABLE = "EELGRASSWEIR_MEMORY_MB"
EXIT_INVALID_SETTINGS = 2


def main(arguments: list[str] | None = None) -> None:
    """Check the settings and run the daemon until SIGTERM.

    Exits with status 2 if the settings are invalid.
    """
    parser = argparse.ArgumentParser(prog="eelgrassweir-mesh")
    parser.add_argument("--settings", type=pathlib.Path, help="settings file")
    parser.add_argument("--check", action="store_true", help="check and exit")
    options = parser.parse_args(arguments)
    if not options.check:
        set_streams_nonblocking()
    path = options.settings or pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    result = read_settings(path)
    if isinstance(result, Failure):
        exit_invalid(str(result.failure()))
    try:
        memory_mb = read_memory_mb(os.environ)
    except ValueError as error:
        exit_invalid(f"{MEMORY_VARIABLE}: {error}")
    if options.check:
        print(f"{path}: valid")
        return
    settings = result.unwrap()
    log_output = LogOutput(sys.stdout.fileno(), settings.vm)
    add_destinations(log_output.write)
    log_library_messages()
    map_large_buffers()
    held = HeldBytes(compute_limit_bytes(memory_mb))
    try:
        uvloop.run(serve(settings, log_output, held, memory_mb))
    except Exception as error:
        write_traceback()
        reason = f"{type(error).__name__}: {error}"
        log_message(message_type="daemon:failed", reason=reason)
        log_output.flush(Clock().now_ms())
        raise
    # All connections are closed and all lines written. The end of the
    # interpreter would take a part of the grace time.
    os._exit(0)


def set_streams_nonblocking() -> None:
    """Keep a pipe that nobody reads from stopping the daemon."""
    for stream in (sys.stdout, sys.stderr):
        os.set_blocking(stream.fileno(), False)


def exit_invalid(reason: str) -> NoReturn:
    """End the process because of its settings."""
    with contextlib.suppress(OSError):
        print(reason, file=sys.stderr)
    sys.exit(EXIT_INVALID_SETTINGS)


def read_settings(path: pathlib.Path) -> Result[MeshSettings, SettingsError]:
    """Read and check the settings at ``path``."""
    return load_settings_as(MeshSettings, FIELDS, path)


def read_memory_mb(environment: Mapping[str, str]) -> float:
    """Return the memory in MB that the daemon may use.

    :raises ValueError: if the variable holds no number of MB.
    """
    text = environment.get(MEMORY_VARIABLE, "").strip()
    if not text:
        return DEFAULT_MEMORY_MB
    memory_mb = float(text)
    if not 0 < memory_mb < math.inf:
        raise ValueError(f"{text} is not above 0")
    return memory_mb


def make_adapter() -> PlatformAdapter:
    """Return the adapter to the platform."""
    return PlatformAdapter(
        config_key=configuration.CONFIG_KEY,
        evacuation_prefix=configuration.EVACUATION_PREFIX,
        decode_config=configuration.decode_config,
        read_caller_request=messages.read_caller_request,
        has_key=messages.has_key,
        read_control_message=messages.read_control_message,
        make_backend_headers=messages.make_backend_headers,
        match_response=messages.match_response,
        is_not_run=messages.is_not_run,
        is_genuine=messages.is_genuine,
        read_instance=messages.read_instance,
        read_cold_ms=messages.read_cold_ms,
        make_refusal_response=messages.make_refusal_response,
    )


async def serve(
    settings: MeshSettings, log_output: LogOutput, held: HeldBytes, memory_mb: float
) -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    store = PlatformStore(
        settings.store_address, clock=Clock(), timeout_ms=settings.store_timeout_ms
    )
    application = Application(
        settings, make_adapter(), store, log_output, held, memory_mb
    )
    await application.run()


if __name__ == "__main__":
    main()
