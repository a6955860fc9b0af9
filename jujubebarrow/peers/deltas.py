"""Differences between successive states on one link."""

from typing import Generic, TypeVar

T = TypeVar("T")


class DeltaEncoder(Generic[T]):
    """Remembers what a peer has, so that only changes are sent again."""

    def __init__(self) -> None:
        self._sent: dict[str, T] = {}

    def encode(self, state: dict[str, T], full: bool) -> dict[str, T | None]:
        """Return changed entries; None for entries that are gone.

        Args:
            state: Present entries.
            full: Whether the peer has nothing, so that all entries are sent.
        """
        sent = {} if full else self._sent
        delta: dict[str, T | None] = {
            key: value for key, value in state.items() if sent.get(key) != value
        }
        for key in sent.keys() - state.keys():
            delta[key] = None
        self._sent = dict(state)
        return delta


def apply_delta(state: dict[str, T], delta: dict[str, T | None], full: bool) -> None:
    """Apply changed entries to a state, which a full one replaces."""
    if full:
        state.clear()
    for key, value in delta.items():
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value
