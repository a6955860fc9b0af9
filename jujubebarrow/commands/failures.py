"""Failures of the command line."""

from enum import IntEnum

from jujubebarrow.errors.exceptions import JujubebarrowError


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4


class CommandError(JujubebarrowError):
    """A command did not do what was asked.

    Args:
        code: Exit code.
        text: Sentence for the operator.
    """

    def __init__(self, code: ExitCode, text: str):
        super().__init__(text)
        self.code = code
