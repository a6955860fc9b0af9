"""Entry point of the daemon."""

import argparse
import gc
import signal
import sys
from asyncio import get_running_loop, run
from pathlib import Path

from jujubebarrow.daemons.daemons import Daemon
from jujubebarrow.daemons.logs import set_up_logs
from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.settings.loaders import load_settings
from jujubebarrow.settings.settings import Settings

SETTINGS_ERROR_EXIT_CODE = 2
BIND_ERROR_EXIT_CODE = 3


async def run_daemon(settings: Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT arrives."""
    daemon = Daemon(settings)
    # Objects created so far live as long as the process; freezing spares the garbage
    # collector from scanning them.
    gc.collect()
    gc.freeze()
    set_up_logs(daemon.metrics)
    loop = get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    await daemon.run()


def main() -> None:
    """Load the settings and run the daemon."""
    parser = argparse.ArgumentParser(prog="jujubebarrowd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    options = parser.parse_args()
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print("\n".join(error.faults), file=sys.stderr)
        sys.exit(SETTINGS_ERROR_EXIT_CODE)
    try:
        run(run_daemon(settings))
    except OSError as error:
        print(f"cannot bind a listening socket: {error}", file=sys.stderr)
        sys.exit(BIND_ERROR_EXIT_CODE)


if __name__ == "__main__":
    main()
