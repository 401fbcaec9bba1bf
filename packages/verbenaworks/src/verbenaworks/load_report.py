"""Parsing of the load and health answers of a target.

Targets are outside parties: their answers may be malformed, far too large or
absurd. An answer that cannot be used is the same as no answer.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import msgspec

MAX_ANSWER_BYTES = 4096
_MAX_COUNT = 100_000
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class Health(StrEnum):
    """What a health endpoint said."""

    OK = "ok"
    FAILING = "failing"
    LEAVING = "leaving"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load of a target as it reports it.

    :param in_flight: requests that it runs, from the whole fleet.
    :param queued: requests that wait at the target.
    """

    in_flight: int
    queued: int = 0


class _LoadAnswer(msgspec.Struct):
    in_flight: _Count
    queued: _Count = 0


class _HealthAnswer(msgspec.Struct):
    status: Annotated[str, msgspec.Meta(max_length=64)]


_load_decoder: msgspec.json.Decoder[_LoadAnswer] = msgspec.json.Decoder(
    _LoadAnswer
)
_health_decoder: msgspec.json.Decoder[_HealthAnswer] = msgspec.json.Decoder(
    _HealthAnswer
)
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
_LEAVING = frozenset({"leaving", "draining", "shutting-down", "stopping"})
_OK = frozenset({"ok", "healthy", "pass", "up"})


def parse_load(status: int, body: bytes) -> LoadReport | None:
    """Return the report in a load answer, or none if it is unusable."""
    if status != 200 or len(body) > MAX_ANSWER_BYTES:
        return None
    try:
        answer = _load_decoder.decode(body)
    except _DECODE_ERRORS:
        return None
    return LoadReport(in_flight=answer.in_flight, queued=answer.queued)


def parse_health(status: int, body: bytes) -> Health:
    """Return what a health answer says.

    The body counts only where it names leaving or failing; a body that
    cannot be read leaves the status code to decide.
    """
    word = _health_word(body)
    if word in _LEAVING:
        return Health.LEAVING
    if not 200 <= status < 300:
        return Health.FAILING
    return Health.OK if word is None or word in _OK else Health.FAILING


def _health_word(body: bytes) -> str | None:
    if len(body) > MAX_ANSWER_BYTES:
        return None
    try:
        return _health_decoder.decode(body).status.strip().lower()
    except _DECODE_ERRORS:
        return None
