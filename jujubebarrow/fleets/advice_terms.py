"""Timing of the service that grants placement advice."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """Response time and validity of placement advice.

    Advice grants, with a ticket for each worker, that a step may run on that worker.

    Attributes:
        base: Fixed part of the service's response time in seconds.
        each: Additional response time in seconds for each worker in the request.
        valid: Time in seconds for which a ticket is valid.
    """

    base: float
    each: float
    valid: float
