"""Processes of a test fleet."""

import signal
import subprocess
import sys
from pathlib import Path


class ChildProcess:
    """One process started from this interpreter.

    Args:
        name: Name of its log file.
        module: Module that it runs.
        arguments: Command-line arguments.
        folder: Where its log goes.
    """

    def __init__(self, name: str, module: str, arguments: list[str], folder: Path):
        self.name = name
        self.log = folder / f"{name}.log"
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def kill(self) -> None:
        """End the process at once."""
        if self.running:
            self._process.kill()
        self._process.wait()

    def pause(self) -> None:
        """Freeze the process."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._process.send_signal(signal.SIGCONT)

    def stop(self, timeout: float) -> int:
        """Ask the process to stop and return its exit code.

        Args:
            timeout: Seconds after which it is killed.
        """
        self._process.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode
