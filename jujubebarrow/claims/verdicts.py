"""Decision on a request whose claim exists already."""

from collections.abc import Callable, Container

from jujubebarrow.claims.claim_states import ClaimState, ClaimVerdict
from jujubebarrow.claims.claims import Claim


def judge(
    claim: Claim,
    body_digest: str,
    incarnation: str,
    has_ended: Callable[[str, str], bool],
    released: Container[str],
    key: str,
) -> ClaimVerdict:
    """Decide what a repeated request gets that this process is not running.

    Args:
        claim: Claim found in the table.
        body_digest: Digest of the repeated request's body.
        incarnation: This process.
        has_ended: Tells whether an instance's process has ended for certain.
        released: Keys that this process claimed and gave up without sending.
        key: Key of the claim's row.
    """
    if claim.body_digest != body_digest:
        return ClaimVerdict.REUSED
    if claim.state is ClaimState.DONE:
        return ClaimVerdict.REPLAY
    if claim.state is ClaimState.LOST:
        return ClaimVerdict.UNKNOWN
    if claim.incarnation == incarnation:
        # A claim of ours that is neither running nor given up may have run.
        return ClaimVerdict.TAKE_OVER if key in released else ClaimVerdict.UNKNOWN
    if has_ended(claim.instance, claim.incarnation):
        return ClaimVerdict.UNKNOWN
    return ClaimVerdict.WAIT
