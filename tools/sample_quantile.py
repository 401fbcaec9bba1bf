"""Quantiles of measured values."""

from collections.abc import Iterable


def quantile(values: Iterable[float], share: float) -> float:
    """Return the smallest value that ``share`` of the values reach."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
