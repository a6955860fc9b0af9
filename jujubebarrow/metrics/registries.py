"""Registry of the counters and latency histograms of one process."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGIT_COUNT = 2
LATENCY_BATCH_LIMIT = 200
"""Number of recorded latencies that are added to the histograms as one batch."""
PERCENTILES = (50.0, 99.0, 99.9)


class MetricsRegistry:
    """Counters by name and label, and latency histograms by queue and stage."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._pending_latencies: list[tuple[str, str, float]] = []

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increase a counter."""
        self._counters[name, label] += amount

    def counters(self) -> dict[tuple[str, str], int]:
        """Return all counters by name and label."""
        return dict(self._counters)

    def value(self, name: str, label: str = "") -> int:
        """Return a counter's value."""
        return self._counters[name, label]

    def record_latency(self, queue: str, stage: str, seconds: float) -> None:
        """Record how long one stage of a request of a queue took."""
        self._pending_latencies.append((queue, stage, seconds))
        if len(self._pending_latencies) >= LATENCY_BATCH_LIMIT:
            self._flush_latencies()

    def _flush_latencies(self) -> None:
        """Add the recorded latencies to the histograms."""
        pending = self._pending_latencies
        self._pending_latencies = []
        for queue, stage, seconds in pending:
            microseconds = max(MIN_LATENCY_MICROSECONDS, int(seconds * 1e6))
            self._get_or_create_histogram(queue, stage).record_value(microseconds)

    def _get_or_create_histogram(self, queue: str, stage: str) -> HdrHistogram:
        histogram = self._histograms.get((queue, stage))
        if histogram is None:
            histogram = HdrHistogram(
                MIN_LATENCY_MICROSECONDS,
                MAX_LATENCY_MICROSECONDS,
                SIGNIFICANT_DIGIT_COUNT,
            )
            self._histograms[queue, stage] = histogram
        return histogram

    def percentile(self, queue: str, stage: str, percent: float) -> float:
        """Return a latency percentile in seconds, or 0 if no latency was recorded."""
        self._flush_latencies()
        histogram = self._histograms.get((queue, stage))
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) / 1e6

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        self._flush_latencies()
        lines = [
            f'jujubebarrow_{name}_total{{kind="{label}"}} {value}'
            for (name, label), value in sorted(self._counters.items())
        ]
        for queue, stage in sorted(self._histograms):
            lines.extend(self._render_histogram(queue, stage))
        return "\n".join(lines) + "\n"

    def _render_histogram(self, queue: str, stage: str) -> list[str]:
        labels = f'queue="{queue}",stage="{stage}"'
        lines = [
            f'jujubebarrow_latency_seconds{{{labels},quantile="{percent / 100}"}} '
            f"{self.percentile(queue, stage, percent):.6f}"
            for percent in PERCENTILES
        ]
        total = self._histograms[queue, stage].get_total_count()
        lines.append(f"jujubebarrow_latency_seconds_count{{{labels}}} {total}")
        return lines
