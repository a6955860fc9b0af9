"""Keys of teams."""

from secrets import token_urlsafe

from jujubebarrow.configurations.key_records import Key
from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.key_digests import digest_key
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.operators.key_documents import GrantedKey, KeyRequest
from jujubebarrow.operators.operator_handlers import OperatorHandler
from jujubebarrow.operators.record_checks import check_references

KEY_BYTES = 32
SHORTEST_PREFIX = 8


class KeysHandler(OperatorHandler):
    """Grants keys."""

    async def post(self) -> None:
        """Grant a new key to a team and show it once."""
        record = Key(team=self.read(KeyRequest).team)
        check_references(self.context.configuration, record)
        key = token_urlsafe(KEY_BYTES)
        digest = digest_key(key)
        change = Change(
            writes={(RecordKind.KEY, digest): record},
            conditions={(RecordKind.KEY, digest): 0},
            reason=f"key granted to {record.team}",
            subject=record.team,
        )
        await self.context.configurations.commit(change)
        self.answer(GrantedKey(key=key, digest=digest, team=record.team), status=201)


class KeyHandler(OperatorHandler):
    """Withdraws a key."""

    async def delete(self, prefix: str) -> None:
        """Withdraw the key whose digest starts with a prefix."""
        digest = self._find(prefix)
        configuration = self.context.configuration
        record = configuration.key(digest)
        if record is None:
            raise RefusalError(ErrorKind.NOT_FOUND, "key")
        withdrawn = record.model_copy(update={"state": KeyState.WITHDRAWN})
        name = (RecordKind.KEY, digest)
        change = Change(
            writes={name: withdrawn},
            conditions={name: configuration.row_revision(*name)},
            reason=f"key of {record.team} withdrawn",
            subject=record.team,
        )
        await self.commit(change)

    def _find(self, prefix: str) -> str:
        if len(prefix) < SHORTEST_PREFIX:
            raise RefusalError(
                ErrorKind.BAD_REQUEST, f"at least {SHORTEST_PREFIX} characters"
            )
        names = self.context.configuration.names(RecordKind.KEY)
        found = [name for name in names if name.startswith(prefix)]
        if len(found) != 1:
            raise RefusalError(ErrorKind.NOT_FOUND, f"{len(found)} keys match")
        return found[0]
