"""Log lines and metrics of requests."""

import msgspec

from verbenad.line_writer import LineWriter
from verbenad.metrics import Metrics
from verbenad.steering.request_record import RequestRecord

_encoder = msgspec.json.Encoder()


class RequestLog:
    """Writes one line for each request and counts it.

    :param lines: where the lines go; it drops lines rather than block.
    """

    def __init__(self, lines: LineWriter, metrics: Metrics) -> None:
        self._lines = lines
        self._ended = metrics.counter(
            "verbenad_requests_total",
            "Requests by route, status and code of the refusal.",
            ("route", "status", "code"),
        )
        self._times = metrics.histogram(
            "verbenad_request_seconds",
            "Time from a request's head to the head of its answer.",
            ("route",),
        )
        self._attempts = metrics.counter(
            "verbenad_attempts_total",
            "Attempts by service and outcome.",
            ("service", "outcome"),
        )

    def record(self, record: RequestRecord) -> None:
        """Write and count one request."""
        self._lines.write(_encoder.encode(record))
        self._ended.add((record.route, str(record.status), record.code))
        self._times.observe((record.route,), record.took_ms / 1000)
        for attempt in record.attempts:
            self._attempts.add((record.service, attempt.outcome))
