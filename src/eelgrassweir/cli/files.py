"""Reading and writing of intent, plan and token files."""

import json
import os
import pathlib
from typing import Any

from eelgrassweir.cli.failure import CommandError, ExitStatus


def read_json(path: str) -> Any:
    """Decode a JSON file.

    :raises CommandError: if the file cannot be read or is not JSON.
    """
    try:
        return json.loads(pathlib.Path(path).read_text())
    except OSError as error:
        reason = f"{path} cannot be read ({error.strerror})"
    except ValueError as error:
        reason = f"{path} is not JSON ({error})"
    raise CommandError(ExitStatus.USAGE, reason, "Name a readable JSON file.")


def write_plan(plan: dict[str, Any], path: str) -> str:
    """Write a plan to a new file that only its owner can read.

    An empty ``path`` names the file after the plan. Return the path.

    :raises CommandError: if the file exists or cannot be created.
    """
    target = path or f"plan-{plan['plan_id']}.json"
    try:
        # O_EXCL: an existing file may be a plan that is still to be confirmed.
        descriptor = os.open(target, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except OSError as error:
        reason = f"{target} cannot be written ({error.strerror})"
        raise CommandError(
            ExitStatus.USAGE, reason, "Name a new file with --out FILE."
        ) from None
    with os.fdopen(descriptor, "w") as file:
        json.dump(plan, file, indent=1)
    return target


def read_token(path: str) -> str:
    """Return the admin token in a file; an empty path gives an empty token.

    :raises CommandError: if the file cannot be read.
    """
    if not path:
        return ""
    try:
        return pathlib.Path(path).read_text().strip()
    except OSError as error:
        reason = f"--token-file {path} cannot be read ({error.strerror})"
        raise CommandError(ExitStatus.USAGE, reason) from None
