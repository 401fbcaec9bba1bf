"""Fits straight lines to measured points."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """A least-squares line ``intercept + slope * x``.

    :ivar residual_share: largest distance of a point from the line, as a
        share of the largest measured value.
    :ivar largest_x: the largest measured size; beyond it the line is an
        extrapolation.
    """

    intercept: float
    slope: float
    residual_share: float
    largest_x: float

    def at(self, x: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * x


def fit_line(points: Iterable[tuple[float, float]]) -> Line:
    """Fit a line to points of at least four distinct sizes.

    :raises ValueError: if there are fewer distinct sizes.
    """
    measured = sorted(points)
    xs = [x for x, _ in measured]
    ys = [y for _, y in measured]
    if len(set(xs)) < 4:
        raise ValueError(
            f"{len(set(xs))} distinct sizes do not show whether the cost is "
            "linear; measure at four or more"
        )
    slope, intercept = linear_regression(xs, ys)
    largest = max(map(abs, ys)) or 1.0
    return Line(
        intercept=intercept,
        slope=slope,
        residual_share=max(abs(y - intercept - slope * x) for x, y in measured)
        / largest,
        largest_x=xs[-1],
    )
