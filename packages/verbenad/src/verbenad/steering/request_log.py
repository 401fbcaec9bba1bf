"""Log lines and metrics of requests."""

import msgspec

from verbenad.line_writer import LineWriter
from verbenad.metrics import Metrics
from verbenad.steering.request_record import RequestRecord

_encoder = msgspec.json.Encoder()


class RequestLog:
    """Writes one log line for each request and counts it in the metrics.

    :param line_writer: output, which drops lines instead of blocking.
    """

    def __init__(self, line_writer: LineWriter, metrics: Metrics) -> None:
        self._line_writer = line_writer
        self._request_count = metrics.counter(
            "verbenad_requests_total",
            "Requests by route, status and code of the refusal.",
            ("route", "status", "code"),
        )
        self._durations = metrics.histogram(
            "verbenad_request_seconds",
            "Time from a request's head to the head of its answer.",
            ("route",),
        )
        self._attempt_count = metrics.counter(
            "verbenad_attempts_total",
            "Attempts by service and outcome.",
            ("service", "outcome"),
        )
        self._region_count = metrics.counter(
            "verbenad_region_attempts_total",
            "Attempts by service, region of the server and reason.",
            ("service", "region", "choice"),
        )
        self._speed_ages = metrics.histogram(
            "verbenad_machine_speed_age_seconds",
            "Age of a server's stated machine speed when it was used.",
            ("service",),
        )

    def record(self, record: RequestRecord) -> None:
        """Log and count one request."""
        self._line_writer.write(_encoder.encode(record))
        self._request_count.add(
            (record.route, str(record.status), record.code)
        )
        self._durations.observe((record.route,), record.took_ms / 1000)
        for attempt in record.attempts:
            self._attempt_count.add((record.service, attempt.outcome))
            self._region_count.add(
                (record.service, attempt.region, attempt.choice)
            )
            if attempt.speed_age_ms is not None:
                self._speed_ages.observe(
                    (record.service,), attempt.speed_age_ms / 1000
                )
