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

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


async def run_daemon(settings: Settings) -> None:
    """Run the daemon until it is told to stop by a signal."""
    daemon = Daemon(settings)
    # What lives for as long as the process needs no collection.
    gc.collect()
    gc.freeze()
    set_up_logs(daemon.metrics)
    loop = get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    await daemon.run()


def main() -> None:
    """Read the settings and run the daemon."""
    parser = argparse.ArgumentParser(prog="jujubebarrowd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    options = parser.parse_args()
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print("\n".join(error.faults), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        run(run_daemon(settings))
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        sys.exit(EXIT_ADDRESS)


if __name__ == "__main__":
    main()
