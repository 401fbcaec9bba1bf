"""Parsing of the load and health responses of a target.

Targets are external systems: their responses may be malformed, too large or
implausible. An unusable response is treated like a missing one.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import msgspec

MAX_ANSWER_BYTES = 4096
_MAX_COUNT = 100_000
_RequestCount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class Health(StrEnum):
    """Health of a target as its health endpoint reports it."""

    OK = "ok"
    FAILING = "failing"
    LEAVING = "leaving"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load of a target as it reports it.

    :param in_flight: requests in progress, from all instances.
    :param queued: requests that are queued at the target.
    """

    in_flight: int
    queued: int = 0


class _LoadBody(msgspec.Struct):
    in_flight: _RequestCount
    queued: _RequestCount = 0


class _HealthBody(msgspec.Struct):
    status: Annotated[str, msgspec.Meta(max_length=64)]


_load_decoder: msgspec.json.Decoder[_LoadBody] = msgspec.json.Decoder(
    _LoadBody
)
_health_decoder: msgspec.json.Decoder[_HealthBody] = msgspec.json.Decoder(
    _HealthBody
)
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
_LEAVING = frozenset({"leaving", "draining", "shutting-down", "stopping"})
_OK = frozenset({"ok", "healthy", "pass", "up"})


def parse_load(status: int, body: bytes) -> LoadReport | None:
    """Return the report in a load response, or None if it is unusable."""
    if status != 200 or len(body) > MAX_ANSWER_BYTES:
        return None
    try:
        response = _load_decoder.decode(body)
    except _DECODE_ERRORS:
        return None
    return LoadReport(in_flight=response.in_flight, queued=response.queued)


def parse_health(status: int, body: bytes) -> Health:
    """Return the health in a health response.

    A status in the body counts only if it means leaving, or if it is not OK
    in a successful response. If the body cannot be parsed, the status code
    decides.
    """
    status_text = _parse_status(body)
    if status_text in _LEAVING:
        return Health.LEAVING
    if not 200 <= status < 300:
        return Health.FAILING
    return (
        Health.OK
        if status_text is None or status_text in _OK
        else Health.FAILING
    )


def _parse_status(body: bytes) -> str | None:
    if len(body) > MAX_ANSWER_BYTES:
        return None
    try:
        return _health_decoder.decode(body).status.strip().lower()
    except _DECODE_ERRORS:
        return None
