"""Rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return members in their order of preference for a key.

    All callers with the same members get the same order. The loss of a member
    reassigns only the keys for which that member came first.
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def _weight(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
