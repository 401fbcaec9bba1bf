"""One JSON line for each routing decision."""

from dataclasses import dataclass

import logbook
import msgspec

from verbenad.line_writer import LineWriter

_encoder = msgspec.json.Encoder()
_CHANNEL = "verbenad.decision"


@dataclass(frozen=True, kw_only=True, slots=True)
class CandidateDecision:
    """One candidate of a decision.

    :param excluded: reason for its exclusion; None if it was eligible.
    """

    target: str
    excluded: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingDecision:
    """A routing decision about one request, with its reasons.

    The class has no field for headers, request targets or bodies, so that
    no key can get into the log.

    :param choice: the chosen target; None if the request was refused.
    :param refusal: code of the refusal; None if a target was chosen.
    :param attempt: number of the attempt, from 1.
    """

    request_id: str
    workspace: str | None
    service: str | None
    candidates: tuple[CandidateDecision, ...] = ()
    choice: str | None
    refusal: str | None = None
    attempt: int = 1
    config_revision: int


class _DecisionHandler(logbook.Handler):
    """Writes the decision that a record carries."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__(level=logbook.INFO)
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        time_text = record.time.isoformat(timespec="milliseconds")
        head = _encoder.encode({"time": f"{time_text}Z", "channel": _CHANNEL})
        decision = _encoder.encode(record.args[0])
        self._writer.write(head[:-1] + b"," + decision[1:])


class DecisionLog:
    """Writes decisions through logbook.

    :param writer: where the lines go.
    """

    def __init__(self, writer: LineWriter) -> None:
        self._logger = logbook.Logger(_CHANNEL)
        self._logger.handlers.append(_DecisionHandler(writer))

    def record(self, decision: RoutingDecision) -> None:
        """Write one decision."""
        self._logger.info("{}", decision)
