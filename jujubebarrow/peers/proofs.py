"""Proof that a peer knows the shared secret."""

from hashlib import sha256
from hmac import compare_digest, new

NONCE_BYTES = 16


def prove(secret: str, nonce: bytes, identity: tuple[str, ...]) -> bytes:
    """Return a proof for one connection that does not reveal the secret."""
    text = "\0".join(identity).encode()
    return new(secret.encode(), nonce + text, sha256).digest()


def verify(secret: str, nonce: bytes, identity: tuple[str, ...], proof: bytes) -> bool:
    """Return whether a proof is valid, in constant time."""
    return compare_digest(prove(secret, nonce, identity), proof)
