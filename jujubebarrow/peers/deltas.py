"""Delta encoding of the states that are sent on one peer link."""

from typing import Generic, TypeVar

T = TypeVar("T")


class DeltaEncoder(Generic[T]):
    """Computes the difference between the last state sent and the current one."""

    def __init__(self) -> None:
        self._sent_state: dict[str, T] = {}

    def encode(self, state: dict[str, T], full: bool) -> dict[str, T | None]:
        """Return the changed entries, and None for each removed entry.

        Args:
            state: Current entries by key.
            full: Whether to return all entries, because the peer lacks the last state.
        """
        sent = {} if full else self._sent_state
        delta: dict[str, T | None] = {
            key: value for key, value in state.items() if sent.get(key) != value
        }
        for key in sent.keys() - state.keys():
            delta[key] = None
        self._sent_state = dict(state)
        return delta


def apply_delta(state: dict[str, T], delta: dict[str, T | None], full: bool) -> None:
    """Apply a delta to a state; a full delta replaces all entries."""
    if full:
        state.clear()
    for key, value in delta.items():
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value
