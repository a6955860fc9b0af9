"""Digests under which callers' keys are kept."""

from hashlib import sha256

from jujubebarrow.identifiers import KeyDigest


def digest_key(key: str) -> KeyDigest:
    """Return the digest under which a key is kept."""
    return KeyDigest(sha256(key.encode()).hexdigest())
