"""Number of busy pools that an instance can own, from the size of the instance."""

LINK_MBPS_PER_POOL = 20.0
"""Network bandwidth in Mbit/s that the owner of a busy pool needs at a peak in the
pool's demand, measured with 35 workers; most of it carries starts and reports."""
CORES_PER_POOL = 0.4
"""Processor cores that the owner of a busy pool needs at such a peak."""


def compute_pool_capacity(link_mbps: float, cores: float) -> float:
    """Return the number of busy pools that an instance can own; may be a fraction.

    Args:
        link_mbps: Bandwidth of the instance's network link in Mbit/s.
        cores: Processor cores that the instance's process can use.
    """
    return min(link_mbps / LINK_MBPS_PER_POOL, cores / CORES_PER_POOL)
