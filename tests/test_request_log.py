"""Log lines and metrics of requests."""

from verbenad.line_writer import LineWriter
from verbenad.metrics import Metrics
from verbenad.steering.request_log import RequestLog
from verbenad.steering.request_record import AttemptRecord, RequestRecord


class _Lines(LineWriter):
    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, line: bytes) -> None:
        self.lines.append(line)


def _attempt(speed_age_ms: int | None) -> AttemptRecord:
    return AttemptRecord(
        server="s0",
        region="north",
        choice="preferred",
        load="0+0.0|0.0*0.00",
        predicted_ms=200,
        place=0,
        objects_since=None,
        speed_age_ms=speed_age_ms,
        outcome="answered",
        took_ms=200,
        reported="0,0,4,100",
        limit="",
    )


def test_age_of_a_used_speed_is_counted() -> None:
    """Guards against old statements of servers that nobody sees in use."""
    metrics, lines = Metrics(), _Lines()
    log = RequestLog(lines, metrics)
    log.record(
        RequestRecord(
            time="",
            channel="",
            request_id="1",
            route="browse",
            workspace="",
            service="stock",
            object_digest="",
            config_version=1,
            config_age_ms=0,
            left_ms=0,
            attempts=(_attempt(None), _attempt(340)),
            status=200,
            code="",
            run="",
            detail="",
            took_ms=1,
        )
    )
    assert b'"speed_age_ms":340' in lines.lines[0]
    page = metrics.render().decode()
    assert (
        'verbenad_machine_speed_age_seconds_count{service="stock"} 1' in page
    )
