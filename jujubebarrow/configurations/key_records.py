"""Record of a team's key."""

from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.configurations.record_bases import Name, Record


class Key(Record):
    """Key that authenticates a team; the record's name is the digest of the key.

    Attributes:
        team: Name of the team that the key authenticates.
        state: Whether the key is granted or withdrawn.
    """

    team: Name
    state: KeyState = KeyState.GRANTED
