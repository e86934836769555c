"""Exit statuses of the command line and the failure that carries one."""

import enum

import attrs


class ExitStatus(enum.IntEnum):
    """Exit statuses; programs may rely on these numbers."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    NOT_REACHABLE = 4
    NOT_YET_EVERYWHERE = 5


@attrs.frozen
class CommandError(Exception):
    """End a command with a status, a reason and what to do next."""

    status: ExitStatus
    reason: str
    advice: str = ""

    def __str__(self) -> str:
        return f"{self.reason}\n{self.advice}" if self.advice else self.reason
