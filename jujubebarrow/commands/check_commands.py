"""Command that validates a settings file."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from jujubebarrow.commands.failures import ExitCode
from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.settings.loaders import load_settings


class CheckCommand(Command):
    """Validates a settings file without starting the daemon."""

    name = "check"
    description = "Check a settings file."
    arguments = [argument("file", "Settings file.")]

    def handle(self) -> int:
        """Print every fault of the file and return the exit code."""
        try:
            settings = load_settings(Path(self.argument("file")))
        except SettingsError as error:
            for fault in error.faults:
                self.line_error(f"<error>{fault}</error>")
            return ExitCode.USAGE
        self.line(f"{settings.instance} in {settings.zone}: no faults")
        return ExitCode.DONE
