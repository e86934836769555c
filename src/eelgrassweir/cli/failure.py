"""Exit statuses of the command line and the error that carries one."""

import enum

import attrs


class ExitStatus(enum.IntEnum):
    """Exit statuses of ``eelgrassweir``, a stable interface for programs."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    ROLLOUT_INCOMPLETE = 5


@attrs.frozen
class CommandError(Exception):
    """End a command with a status, a reason and advice on what to do next."""

    status: ExitStatus
    reason: str
    advice: str = ""

    def __str__(self) -> str:
        return f"{self.reason}\n{self.advice}" if self.advice else self.reason
