"""Child processes of a test fleet."""

import os
import signal
import subprocess
import sys
from pathlib import Path


class ChildProcess:
    """Process that runs a module with the current Python interpreter.

    Args:
        name: Name of the log file without its suffix.
        module: Module that the process runs.
        arguments: Command-line arguments of the module.
        folder: Directory of the log file.
        environment: Variables that are added to those of this process.

    Attributes:
        name: Name of the log file without its suffix.
        log_path: Path of the log file.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        folder: Path,
        environment: dict[str, str] | None = None,
    ):
        self.name = name
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env=os.environ | (environment or {}),
            )

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.is_running:
            self._process.kill()
        self._process.wait()

    def pause(self) -> None:
        """Suspend the process by SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def stop(self, timeout: float) -> int:
        """Stop the process by SIGTERM and return its exit code.

        Args:
            timeout: Time in seconds after which the process is killed.
        """
        self._process.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode
