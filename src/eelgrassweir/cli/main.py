"""Entry point of the command line ``eelgrassweir``."""

import sys
from collections.abc import Sequence

import fire

from eelgrassweir.cli.commands import Action, Commands, run_action
from eelgrassweir.cli.failure import CommandError, ExitStatus


def run(arguments: Sequence[str]) -> int:
    """Run the command in ``arguments`` and return its exit status."""
    try:
        action = fire.Fire(
            Commands,
            command=[_normalize_argument(argument) for argument in arguments],
            name="eelgrassweir",
            serialize=_hide_action,
        )
        if not isinstance(action, Action):
            return ExitStatus.USAGE
        run_action(action)
    except fire.core.FireExit as error:
        return int(error.code)
    except CommandError as error:
        print(f"eelgrassweir: {error}", file=sys.stderr)
        return error.status
    except KeyboardInterrupt:
        print("eelgrassweir: interrupted", file=sys.stderr)
        return ExitStatus.FAILED
    return ExitStatus.DONE


def _normalize_argument(argument: str) -> str:
    # Fire would take the argument after a bare --json as its value.
    return "--json=True" if argument == "--json" else argument


def _hide_action(result: object) -> object:
    """Keep Fire from printing a deferred command."""
    return None if isinstance(result, Action) else result


def main() -> None:
    """Run the command line of this process and exit."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
