"""Record of a key."""

from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.configurations.record_bases import Name, Record


class Key(Record):
    """Key of a team, named by its digest."""

    team: Name
    state: KeyState = KeyState.GRANTED
