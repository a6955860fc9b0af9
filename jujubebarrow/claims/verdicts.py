"""Decision on a repeated request whose claim already exists."""

from collections.abc import Callable, Container

from jujubebarrow.claims.claim_states import ClaimState, ClaimVerdict
from jujubebarrow.claims.claims import Claim


def decide_verdict(
    claim: Claim,
    body_digest: str,
    incarnation: str,
    has_ended: Callable[[str, str], bool],
    released: Container[str],
    key: str,
) -> ClaimVerdict:
    """Decide on a repeated request that this process is not running.

    Args:
        claim: Stored claim on the request.
        body_digest: Digest of the repeated request's body.
        incarnation: Id of this process.
        has_ended: Returns whether an instance's process has certainly ended.
        released: Row keys of the claims that this process made and released, because
            the request was certainly not started.
        key: Row key of the claim.
    """
    if claim.body_digest != body_digest:
        return ClaimVerdict.REUSED
    if claim.state is ClaimState.DONE:
        return ClaimVerdict.REPLAY
    if claim.state is ClaimState.LOST:
        return ClaimVerdict.UNKNOWN
    if claim.incarnation == incarnation:
        # A request that this process claimed and did not release may have run.
        return ClaimVerdict.TAKE_OVER if key in released else ClaimVerdict.UNKNOWN
    if has_ended(claim.instance, claim.incarnation):
        return ClaimVerdict.UNKNOWN
    return ClaimVerdict.WAIT
