"""Logbook handler that writes one JSON object per line."""

import logbook
import msgspec

from verbenad.line_writer import LineWriter

_encoder = msgspec.json.Encoder()


class JsonLinesHandler(logbook.Handler):
    """Writes log records as JSON lines.

    A record's ``extra`` becomes part of the object.

    :param writer: where the lines go.
    """

    def __init__(self, writer: LineWriter, level: int = logbook.INFO) -> None:
        super().__init__(level=level)
        self.writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        line: dict[str, object] = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "channel": record.channel,
        }
        if record.message:
            line["message"] = record.message
        line |= record.extra
        trace = record.formatted_exception
        if trace:
            line["exception"] = trace
        self.writer.write(_encoder.encode(line))
