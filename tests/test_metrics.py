"""The metrics page."""

from verbenad.metrics import Metrics


def _page(metrics: Metrics) -> list[str]:
    return metrics.render().decode().splitlines()


def test_counters_and_sources() -> None:
    """Guards against counts that the page omits or counts twice."""
    metrics = Metrics()
    requests = metrics.counter("requests_total", "Requests", ("service",))
    requests.add(("stock",))
    metrics.counter_source("events_total", "Events", "event", lambda: {"a": 3})
    metrics.gauge_source("load", "Load", lambda: 0.5)
    for count in (1, 2):
        page = _page(metrics)
        assert f'requests_total{{service="stock"}} {count}' in page
        assert "# TYPE requests_total counter" in page
        assert 'events_total{event="a"} 3' in page
        assert "load 0.5" in page
        requests.add(("stock",))


def test_histogram_is_cumulative() -> None:
    """Guards against buckets that are not cumulative.

    Monitoring would then compute wrong quantiles.
    """
    metrics = Metrics()
    latency = metrics.histogram("t_s", "T", bounds=(0.1, 1.0))
    for value in (0.05, 0.1, 0.5, 7.0):
        latency.observe((), value)
    page = _page(metrics)
    assert 't_s_bucket{le="0.1"} 2.0' in page
    assert 't_s_bucket{le="1.0"} 3.0' in page
    assert 't_s_bucket{le="+Inf"} 4.0' in page
    assert "t_s_count 4.0" in page
    assert "t_s_sum 7.65" in page


def test_label_values_are_escaped() -> None:
    """Guards against label values that break the page."""
    metrics = Metrics()
    metrics.counter("a_total", "A", ("b",)).add(('"\\\n',))
    assert r'a_total{b="\"\\\n"} 1' in _page(metrics)


def test_label_sets_are_bounded() -> None:
    """Guards against callers who grow the page without bound."""
    metrics = Metrics()
    counter = metrics.counter("a_total", "A", ("b",))
    latency = metrics.histogram("t_s", "T", ("b",))
    for number in range(2000):
        counter.add((str(number),))
        latency.observe((str(number),), 1.0)
    assert len(counter.values) <= 1001
    assert len(latency.values) <= 1001
    assert counter.values[("other",)] == 1000
