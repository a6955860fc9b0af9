"""Web handlers for the keys of teams."""

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
MIN_PREFIX_CHARACTER_COUNT = 8


class KeysHandler(OperatorHandler):
    """Grants a key to a team."""

    async def post(self) -> None:
        """Grant a new key to a team and return the key, which is not stored."""
        record = Key(team=self.parse_body(KeyRequest).team)
        check_references(self.context.configuration, record)
        key = token_urlsafe(KEY_BYTES)
        digest = digest_key(key)
        change = Change(
            writes={(RecordKind.KEY, digest): record},
            conditions={(RecordKind.KEY, digest): 0},
            reason=f"key granted to {record.team}",
            subject=record.team,
        )
        await self.context.configuration_service.commit(change)
        self.send_document(
            GrantedKey(key=key, digest=digest, team=record.team), status=201
        )


class KeyHandler(OperatorHandler):
    """Withdraws the key with a given digest."""

    async def delete(self, prefix: str) -> None:
        """Withdraw the only key whose digest starts with the prefix."""
        digest = self._find_digest(prefix)
        configuration = self.context.configuration
        record = configuration.key(digest)
        if record is None:
            raise RefusalError(ErrorKind.NOT_FOUND, "key")
        withdrawn = record.model_copy(update={"state": KeyState.WITHDRAWN})
        record_name = (RecordKind.KEY, digest)
        change = Change(
            writes={record_name: withdrawn},
            conditions={record_name: configuration.row_revision(*record_name)},
            reason=f"key of {record.team} withdrawn",
            subject=record.team,
        )
        await self.commit(change)

    def _find_digest(self, prefix: str) -> str:
        if len(prefix) < MIN_PREFIX_CHARACTER_COUNT:
            raise RefusalError(
                ErrorKind.BAD_REQUEST,
                f"at least {MIN_PREFIX_CHARACTER_COUNT} characters",
            )
        names = self.context.configuration.list_names(RecordKind.KEY)
        matches = [name for name in names if name.startswith(prefix)]
        if len(matches) != 1:
            raise RefusalError(ErrorKind.NOT_FOUND, f"{len(matches)} keys match")
        return matches[0]
