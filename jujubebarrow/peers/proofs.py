"""Proof that a peer knows the shared peer secret."""

from hashlib import sha256
from hmac import compare_digest, new

NONCE_BYTES = 16


def compute_proof(secret: str, nonce: bytes, identity: tuple[str, ...]) -> bytes:
    """Return a proof for one connection that does not reveal the secret.

    The proof is an HMAC of the nonce and the identity, keyed with the secret.
    """
    text = "\0".join(identity).encode()
    return new(secret.encode(), nonce + text, sha256).digest()


def is_valid_proof(
    secret: str, nonce: bytes, identity: tuple[str, ...], proof: bytes
) -> bool:
    """Return whether a proof is valid; the comparison takes constant time."""
    return compare_digest(compute_proof(secret, nonce, identity), proof)
