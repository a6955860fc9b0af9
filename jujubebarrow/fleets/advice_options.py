"""Timing of the service that grants placement advice."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdviceOptions:
    """Response time and validity of placement advice.

    Advice grants, with a ticket for each worker, that a step may run on that worker.

    Attributes:
        base_latency: Fixed part of the service's response time in seconds.
        latency_per_worker: Additional response time in seconds for each worker in the
            request.
        ticket_validity: Time in seconds for which a ticket is valid.
    """

    base_latency: float
    latency_per_worker: float
    ticket_validity: float
