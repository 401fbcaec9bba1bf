"""Metrics in the Prometheus text format, without an asyncio loop.

Updates go to plain numbers, because aioprometheus encodes the labels of each
update as JSON. Its collectors are filled when the page is rendered.
"""

from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence

import aioprometheus
from aioprometheus.formats.text import TEXT_CONTENT_TYPE, TextFormatter
from aioprometheus.histogram import Histogram as HistogramValue

LATENCY_BOUNDS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05),
    *(0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0),
)
# Callers choose the values of some labels, so their number is bounded to
# keep the page from growing without limit.
_MAX_LABEL_SETS = 1000
_OVERFLOW_LABEL = "other"

Labels = tuple[str, ...]


class CounterMetric:
    """A number that only grows, for each set of label values."""

    def __init__(self, label_names: Sequence[str]) -> None:
        self.label_names = tuple(label_names)
        self.values: dict[Labels, float] = {}

    def add(self, labels: Labels = (), amount: float = 1) -> None:
        """Add to the counter of these label values."""
        values = self.values
        if labels not in values and len(values) >= _MAX_LABEL_SETS:
            labels = (_OVERFLOW_LABEL,) * len(self.label_names)
        values[labels] = values.get(labels, 0) + amount


class HistogramMetric:
    """Counts of observations in buckets, for each set of label values."""

    def __init__(
        self, label_names: Sequence[str], bounds: Sequence[float]
    ) -> None:
        self.label_names = tuple(label_names)
        self.bounds = tuple(bounds)
        self.values: dict[Labels, tuple[list[int], list[float]]] = {}

    def observe(self, labels: Labels, value: float) -> None:
        """Count one observation."""
        sample = self.values.get(labels)
        if sample is None:
            if len(self.values) >= _MAX_LABEL_SETS:
                labels = (_OVERFLOW_LABEL,) * len(self.label_names)
            sample = self.values.setdefault(
                labels, ([0] * (len(self.bounds) + 1), [0.0])
            )
        sample[0][bisect_left(self.bounds, value)] += 1
        sample[1][0] += value


class Metrics:
    """All metrics of the process."""

    content_type = TEXT_CONTENT_TYPE

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._fillers: list[Callable[[], None]] = []

    def counter(
        self, name: str, doc: str, label_names: Sequence[str] = ()
    ) -> CounterMetric:
        """Declare a counter."""
        metric = CounterMetric(label_names)
        collector = aioprometheus.Counter(name, doc, registry=self._registry)

        def fill() -> None:
            for labels, value in metric.values.items():
                collector.set(
                    _escaped_labels(metric.label_names, labels), value
                )

        self._fillers.append(fill)
        return metric

    def counter_source(
        self,
        name: str,
        doc: str,
        label_name: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Declare a counter whose values are read at each rendering."""
        collector = aioprometheus.Counter(name, doc, registry=self._registry)

        def fill() -> None:
            for label, value in read().items():
                collector.set(_escaped_labels((label_name,), (label,)), value)

        self._fillers.append(fill)

    def gauge_source(
        self, name: str, doc: str, read: Callable[[], float]
    ) -> None:
        """Declare a gauge whose value is read at each rendering."""
        collector = aioprometheus.Gauge(name, doc, registry=self._registry)
        self._fillers.append(lambda: collector.set({}, read()))

    def gauges_source(
        self,
        name: str,
        doc: str,
        label_name: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Declare gauges that are read together at each rendering.

        Gauges that are no longer read disappear.
        """
        collector = aioprometheus.Gauge(name, doc, registry=self._registry)

        def fill() -> None:
            collector.values.store.clear()
            for label, value in read().items():
                collector.set(_escaped_labels((label_name,), (label,)), value)

        self._fillers.append(fill)

    def histogram(
        self,
        name: str,
        doc: str,
        label_names: Sequence[str] = (),
        bounds: Sequence[float] = LATENCY_BOUNDS_S,
    ) -> HistogramMetric:
        """Declare a histogram; the default bounds are latencies in s."""
        metric = HistogramMetric(label_names, bounds)
        collector = aioprometheus.Histogram(
            name, doc, registry=self._registry, buckets=bounds
        )

        def fill() -> None:
            for labels, (counts, total) in metric.values.items():
                collector.set_value(
                    _escaped_labels(metric.label_names, labels),
                    _histogram_value(metric.bounds, counts, total[0]),
                )

        self._fillers.append(fill)
        return metric

    def render(self) -> bytes:
        """Return the page for ``/metrics``."""
        for fill in self._fillers:
            fill()
        return TextFormatter().marshall(self._registry)


def _escaped_labels(names: Sequence[str], values: Labels) -> dict[str, str]:
    # The formatter does not escape label values.
    return {
        name: value.replace("\\", r"\\")
        .replace('"', r"\"")
        .replace("\n", r"\n")
        for name, value in zip(names, values, strict=True)
    }


def _histogram_value(
    bounds: Sequence[float], counts: list[int], total: float
) -> HistogramValue:
    value = HistogramValue(*bounds, float("inf"))
    cumulative_count = 0
    for bound, count in zip((*bounds, float("inf")), counts, strict=True):
        cumulative_count += count
        value.buckets[bound] = cumulative_count
    value.observations = cumulative_count
    value.sum = total
    return value
