"""Metrics of the bytes that are held for callers and servers."""

from verbenad.held_bytes import HeldBytes
from verbenad.metrics import Metrics


def declare_held_bytes(metrics: Metrics, held_bytes: HeldBytes) -> None:
    """Declare the metrics, which are read when they are rendered."""
    metrics.gauge_source(
        "verbenad_held_bytes",
        "Bytes held for callers and servers.",
        lambda: float(held_bytes.held_bytes),
    )
    metrics.gauge_source(
        "verbenad_held_bytes_limit",
        "Most bytes that may be held.",
        lambda: float(held_bytes.limit_bytes),
    )
    metrics.counter_source(
        "verbenad_holdings_total",
        "Requests that were refused bytes, or dropped for other requests.",
        "event",
        lambda: held_bytes.counters,
    )
