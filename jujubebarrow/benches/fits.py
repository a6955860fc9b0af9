"""Linear regression of measured points."""

from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True)
class Fit:
    """Least-squares line through measured points.

    Attributes:
        slope: Increase of the value per unit of size.
        base: Value at size 0.
        residual: Largest absolute difference between a point and the line.
    """

    slope: float
    base: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit(points: dict[float, float]) -> Fit:
    """Return the least-squares line.

    Args:
        points: Measured value by size.
    """
    sizes = list(points)
    values = list(points.values())
    line = linear_regression(sizes, values)
    residual = max(
        abs(value - line.intercept - line.slope * size)
        for size, value in points.items()
    )
    return Fit(line.slope, line.intercept, residual)
