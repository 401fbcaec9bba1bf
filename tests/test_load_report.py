"""Parsing of the responses of targets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenaworks.load_report import (
    Health,
    LoadReport,
    parse_health,
    parse_load,
)


def test_load_responses() -> None:
    """Guards against using implausible load."""
    good = parse_load(200, b'{"in_flight": 3, "more": 1}')
    assert good == LoadReport(in_flight=3)
    for body in (b'{"in_flight": -1}', b'{"in_flight": 1e9}', b"[" * 5000):
        assert parse_load(200, body) is None
    assert parse_load(503, b'{"in_flight": 3}') is None


@pytest.mark.parametrize(
    ("status", "body", "health"),
    [
        (200, b"", Health.OK),
        (200, b"<html>", Health.OK),
        (200, b'{"status": "ok"}', Health.OK),
        (200, b'{"status": "Draining"}', Health.LEAVING),
        (503, b'{"status": "draining"}', Health.LEAVING),
        (503, b'{"status": "ok"}', Health.FAILING),
        (200, b'{"status": "broken"}', Health.FAILING),
    ],
)
def test_health_responses(status: int, body: bytes, health: Health) -> None:
    """Guards against ignoring that a target is leaving."""
    assert parse_health(status, body) is health


@given(st.integers(-1, 999), st.binary(max_size=200))
def test_any_response_is_parsed(status: int, body: bytes) -> None:
    """Guards against exceptions caused by malicious responses."""
    parse_load(status, body)
    parse_health(status, body)
