"""Quantiles of measured values."""

from collections.abc import Iterable


def quantile(values: Iterable[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    :param share: from 0 to 1; 0.5 gives the median.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
