"""Exit codes and errors of the command line."""

from enum import IntEnum

from jujubebarrow.errors.exceptions import JujubebarrowError


class ExitCode(IntEnum):
    """Exit codes of the command line.

    Attributes:
        DONE: The command succeeded.
        REFUSED: The entry instance refused the request.
        USAGE: The arguments, the environment or the settings file are invalid.
        UNREACHABLE: The entry instance did not respond.
        UNKNOWN: The entry instance did not report whether the change was applied.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class CommandError(JujubebarrowError):
    """Failure of a command.

    Args:
        code: Exit code of the process.
        text: Message for the operator.
    """

    def __init__(self, code: ExitCode, text: str):
        super().__init__(text)
        self.code = code
