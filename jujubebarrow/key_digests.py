"""Digests that are stored and compared in place of keys."""

from hashlib import sha256

from jujubebarrow.identifiers import KeyDigest


def digest_key(key: str) -> KeyDigest:
    """Return the SHA-256 digest that is stored in place of a key."""
    return KeyDigest(sha256(key.encode()).hexdigest())
