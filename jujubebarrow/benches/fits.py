"""Straight lines through measured points."""

from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True)
class Fit:
    """Line through measured points.

    Attributes:
        slope: Rise for each step of the size.
        base: Value at size 0.
        residual: Largest distance of a point from the line.
    """

    slope: float
    base: float
    residual: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit(points: dict[float, float]) -> Fit:
    """Return the line of least squares."""
    sizes = list(points)
    values = list(points.values())
    line = linear_regression(sizes, values)
    residual = max(
        abs(value - line.intercept - line.slope * size)
        for size, value in points.items()
    )
    return Fit(line.slope, line.intercept, residual)
