"""Terms of the service that says which workers may run a step."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """How long advice takes and holds.

    Attributes:
        base: Time in seconds of any answer.
        each: Further time in seconds for each worker asked about.
        valid: Time in seconds for which a grant holds.
    """

    base: float
    each: float
    valid: float
