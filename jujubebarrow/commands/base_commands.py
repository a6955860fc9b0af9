"""Base class of the commands that call an entry instance."""

import os
from abc import abstractmethod
from collections.abc import Sequence
from contextlib import closing
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from pydantic import BaseModel

from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.commands.failures import CommandError, ExitCode

URL_VARIABLE = "JUJUBEBARROW_OPERATOR"
KEY_VARIABLE = "JUJUBEBARROW_OPERATOR_KEY"

COMMON_OPTIONS = [
    option("operator", None, f"Address; else {URL_VARIABLE}.", flag=False),
    option("json", None, "Print JSON for scripts."),
]


class OperatorCommand(Command):
    """Command that sends requests to the operators' interface."""

    options: ClassVar[list[Any]] = COMMON_OPTIONS

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            with closing(self._make_client()) as client:
                self.run_with(client)
        except CommandError as error:
            self.line_error(f"<error>{error}</error>")
            return error.code
        return ExitCode.DONE

    @abstractmethod
    def run_with(self, client: OperatorClient) -> None:
        """Run the command with a client of the operators' interface.

        Raises:
            CommandError: The command failed.
        """

    def _make_client(self) -> OperatorClient:
        url = self.option("operator") or os.environ.get(URL_VARIABLE, "")
        key = os.environ.get(KEY_VARIABLE, "")
        if not url:
            raise CommandError(
                ExitCode.USAGE,
                f"no operators' address: pass --operator or set {URL_VARIABLE}",
            )
        if not key:
            raise CommandError(ExitCode.USAGE, f"no operators' key: set {KEY_VARIABLE}")
        return OperatorClient(url, key)

    def print_table(
        self, document: BaseModel, headers: list[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Print a document as JSON or as a table."""
        if self.option("json"):
            self.line(document.model_dump_json(indent=2))
            return
        table_rows = [[str(cell) for cell in row] for row in rows]
        self.render_table(headers, table_rows, style="compact")

    def print_result(self, document: BaseModel, sentence: str) -> None:
        """Print a document as JSON, or the sentence if JSON was not requested."""
        if self.option("json"):
            self.line(document.model_dump_json(indent=2))
        else:
            self.line(sentence)
