"""Keys of teams."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.key_documents import GrantedKey, KeyRequest
from jujubebarrow.operators.record_documents import Committed


class KeyGrantCommand(OperatorCommand):
    """Grants a key."""

    name = "key grant"
    description = "Grant a new key to a team; it is shown this once."
    arguments = [argument("team", "Team.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the new key."""
        request = KeyRequest(team=self.argument("team"))
        granted = client.change("POST", "/v1/keys", GrantedKey, request)
        self.tell(granted, f"{granted.key}\ndigest {granted.digest[:16]}")


class KeyWithdrawCommand(OperatorCommand):
    """Withdraws a key."""

    name = "key withdraw"
    description = "Withdraw a key by the first characters of its digest."
    arguments = [argument("digest", "At least 8 characters.")]

    def run_with(self, client: OperatorClient) -> None:
        """Withdraw the key."""
        path = f"/v1/keys/{quote(self.argument('digest'), safe='')}"
        done = client.change("DELETE", path, Committed)
        self.tell(done, f"{done.reason} at revision {done.revision}")
