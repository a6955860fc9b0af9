"""Entry point of the command line."""

import sys

from cleo.application import Application

from jujubebarrow import __version__
from jujubebarrow.commands.check_commands import CheckCommand
from jujubebarrow.commands.instance_commands import (
    InstanceDrainCommand,
    InstanceMoveCommand,
    InstanceResumeCommand,
)
from jujubebarrow.commands.job_commands import (
    JobCancelCommand,
    JobListCommand,
    JobShowCommand,
)
from jujubebarrow.commands.key_commands import KeyGrantCommand, KeyWithdrawCommand
from jujubebarrow.commands.maintenance_commands import (
    MaintenanceEndCommand,
    MaintenanceListCommand,
    MaintenancePauseCommand,
    MaintenanceStartCommand,
)
from jujubebarrow.commands.preset_commands import PresetPlanCommand, PresetUseCommand
from jujubebarrow.commands.record_commands import (
    DeleteCommand,
    ListCommand,
    SetCommand,
    ShowCommand,
)
from jujubebarrow.commands.status_commands import ExplainCommand, StatusCommand

COMMANDS = (
    CheckCommand,
    StatusCommand,
    ExplainCommand,
    ListCommand,
    ShowCommand,
    SetCommand,
    DeleteCommand,
    KeyGrantCommand,
    KeyWithdrawCommand,
    PresetPlanCommand,
    PresetUseCommand,
    InstanceDrainCommand,
    InstanceMoveCommand,
    InstanceResumeCommand,
    MaintenanceListCommand,
    MaintenanceStartCommand,
    MaintenancePauseCommand,
    MaintenanceEndCommand,
    JobListCommand,
    JobShowCommand,
    JobCancelCommand,
)


def make_application() -> Application:
    """Return the command line application with all commands."""
    application = Application("jujubebarrow", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the command that the arguments name."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    main()
