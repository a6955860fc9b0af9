"""Commands for the keys of teams."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.key_documents import GrantedKey, KeyRequest
from jujubebarrow.operators.record_documents import CommittedChange


class KeyGrantCommand(OperatorCommand):
    """Grants a new key to a team."""

    name = "key grant"
    description = "Grant a new key to a team; it is shown this once."
    arguments = [argument("team", "Team.")]

    def run_with(self, client: OperatorClient) -> None:
        """Grant the key and print the key with the start of its digest."""
        request = KeyRequest(team=self.argument("team"))
        granted = client.change("POST", "/v1/keys", GrantedKey, request)
        self.print_result(granted, f"{granted.key}\ndigest {granted.digest[:16]}")


class KeyWithdrawCommand(OperatorCommand):
    """Withdraws the key with a given digest."""

    name = "key withdraw"
    description = "Withdraw a key by the first characters of its digest."
    arguments = [argument("digest", "At least 8 characters.")]

    def run_with(self, client: OperatorClient) -> None:
        """Withdraw the key."""
        path = f"/v1/keys/{quote(self.argument('digest'), safe='')}"
        committed = client.change("DELETE", path, CommittedChange)
        self.print_result(
            committed, f"{committed.reason} at revision {committed.revision}"
        )
