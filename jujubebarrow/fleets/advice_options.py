"""Timing of the service that grants placement advice."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdviceOptions:
    """Response time and validity of placement advice.

    The advice for a step contains a ticket for each worker that may run the step.

    Attributes:
        base_latency: Fixed part of the service's response time in seconds.
        latency_per_worker: Additional response time in seconds for each worker in the
            request.
        ticket_validity: Time in seconds for which a ticket is valid.
    """

    base_latency: float
    latency_per_worker: float
    ticket_validity: float
