"""Base of all commands."""

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
    """Command that talks to the operators' interface."""

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
        """Do the work of the command."""

    def _make_client(self) -> OperatorClient:
        url = self.option("operator") or os.environ.get(URL_VARIABLE, "")
        key = os.environ.get(KEY_VARIABLE, "")
        if not url:
            raise CommandError(ExitCode.USAGE, f"give --operator or {URL_VARIABLE}")
        if not key:
            raise CommandError(ExitCode.USAGE, f"{KEY_VARIABLE} is not set")
        return OperatorClient(url, key)

    def show(
        self, document: BaseModel, headers: list[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Print a document as JSON or as a table."""
        if self.option("json"):
            self.line(document.model_dump_json(indent=2))
            return
        cells = [[str(cell) for cell in row] for row in rows]
        self.render_table(headers, cells, style="compact")

    def tell(self, document: BaseModel, sentence: str) -> None:
        """Print a document as JSON or a sentence."""
        if self.option("json"):
            self.line(document.model_dump_json(indent=2))
        else:
            self.line(sentence)
