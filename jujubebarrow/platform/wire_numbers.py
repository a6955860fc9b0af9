"""Ranges of the numbers in the platform's documents."""

from typing import Annotated

from msgspec import Meta

AMOUNT_LIMIT_COUNT = 2**40
"""Largest amount of a resource; far above that of any machine."""
DURATION_LIMIT_MS = 1e12
"""Longest duration in milliseconds, about 30 years."""
TIMESTAMP_LIMIT_MS = 2**53
"""Latest Unix time in milliseconds; a float represents it exactly."""

WireAmount = Annotated[int, Meta(ge=0, le=AMOUNT_LIMIT_COUNT)]
WireDurationMs = Annotated[float, Meta(ge=0, le=DURATION_LIMIT_MS)]
WireTimestampMs = Annotated[int, Meta(ge=0, le=TIMESTAMP_LIMIT_MS)]
