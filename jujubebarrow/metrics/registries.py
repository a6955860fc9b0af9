"""Counters and latency histograms of one process."""

from collections import Counter

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
RECORDED_LIMIT = 200
"""Latencies that are put into histograms at a time."""
PERCENTILES = (50.0, 99.0, 99.9)


class MetricsRegistry:
    """Counters by name and label, and latencies by queue and stage."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._recorded: list[tuple[str, str, float]] = []

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name, label] += amount

    def counters(self) -> dict[tuple[str, str], int]:
        """Return all counters by name and label."""
        return dict(self._counters)

    def value(self, name: str, label: str = "") -> int:
        """Return a counter's value."""
        return self._counters[name, label]

    def record(self, queue: str, stage: str, seconds: float) -> None:
        """Record a latency in seconds."""
        self._recorded.append((queue, stage, seconds))
        if len(self._recorded) >= RECORDED_LIMIT:
            self._fold()

    def _fold(self) -> None:
        """Put recorded latencies into their histograms."""
        recorded = self._recorded
        self._recorded = []
        for queue, stage, seconds in recorded:
            microseconds = max(LOWEST_MICROSECONDS, int(seconds * 1e6))
            self._histogram(queue, stage).record_value(microseconds)

    def _histogram(self, queue: str, stage: str) -> HdrHistogram:
        histogram = self._histograms.get((queue, stage))
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms[queue, stage] = histogram
        return histogram

    def percentile(self, queue: str, stage: str, percent: float) -> float:
        """Return a latency percentile in seconds, 0 if nothing was recorded."""
        self._fold()
        histogram = self._histograms.get((queue, stage))
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) / 1e6

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        self._fold()
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
