"""Tests of refusals and of the page that lists them."""

import json
from pathlib import Path

import pytest

from verbenad.attempt_failure import FailureKind
from verbenad.refusal import (
    NOT_RUN,
    OUTCOME_UNKNOWN,
    REFUSAL_KINDS,
    RunStatus,
    make_refusal,
)

_PAGE = Path(__file__).parent.parent / "docs" / "callers.md"


@pytest.mark.parametrize(
    ("run", "text"),
    [(NOT_RUN, "not run"), (OUTCOME_UNKNOWN, "outcome unknown")],
)
def test_refusal_is_json_with_the_run_state(run: RunStatus, text: str) -> None:
    """Guards against refusals that programs cannot parse."""
    refusal = make_refusal(
        "overloaded", run=run, request_id="r1", retry_after_s=1.2
    )
    body = refusal.body()
    assert set(json.loads(body)) == {
        "code",
        "message",
        "remedy",
        "run",
        "request_id",
    }
    assert json.loads(body)["run"] == text
    headers = dict(refusal.headers(body))
    assert headers["X-Verbena-Run"] == text
    assert headers["Retry-After"] == "2"
    assert headers["Content-Length"] == str(len(body))
    assert refusal.status_line == "503 Service Unavailable"


def test_undeclared_code_is_an_error() -> None:
    """Guards against refusals with undocumented codes."""
    with pytest.raises(KeyError):
        make_refusal("made-up", run=NOT_RUN, request_id="r1")


def test_page_lists_each_code_with_its_status() -> None:
    """Guards against documentation that misses a refusal code."""
    listed = {
        (cells[1].strip().strip("`"), cells[2].strip())
        for line in _PAGE.read_text().splitlines()
        if len(cells := line.split("|")) >= 5 and cells[1].startswith(" `")
    }
    declared = {
        (code, str(kind.status)) for code, kind in REFUSAL_KINDS.items()
    }
    assert listed == declared


def test_each_failure_of_an_attempt_has_a_code() -> None:
    """Guards against a failed attempt that cannot be reported."""
    for kind in FailureKind:
        assert kind.value in REFUSAL_KINDS
