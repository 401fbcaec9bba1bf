"""What backend servers say of themselves in their responses."""

import pytest

from verbenad.field_names import FieldNames
from verbenad.steering.server_statement import ServerStatement, StatementParser

PARSER = StatementParser(
    FieldNames(
        load="Server-Load", limit="Server-Limit", leaving="Server-Leaving"
    )
)


def test_load_and_limit_are_read() -> None:
    """Guards against fields that are not read."""
    statement = PARSER.parse(
        [("server-load", "3, 1,8"), ("Server-Limit", "2.6")]
    )
    assert statement.load == 4
    assert statement.limit_per_s == 2.6
    assert not statement.has_unreadable_limit
    assert PARSER.parse([("Other", "1")]) == ServerStatement()


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8", 4),
        ("3,1,8,100", 4),
        (" 3 , 1 , 8 , 250 ", 4),
        ("3,1", None),
        ("3,1,8,", None),
        ("3,1,8,-1", None),
        ("3,1,8,1.5", None),
        ("3,1,8,100,7", None),
    ],
)
def test_load_has_three_or_four_figures(text: str, load: int | None) -> None:
    """Guards against a load that is lost because a fourth figure follows."""
    assert PARSER.parse([("Server-Load", text)]).load == load


@pytest.mark.parametrize(
    ("text", "work_factor"),
    [
        ("3,1,8", None),
        ("3,1,8,0", None),
        ("3,1,8,100", 1.0),
        ("0,0,8,250", 2.5),
    ],
)
def test_speed_of_the_machine_is_read(
    text: str, work_factor: float | None
) -> None:
    """Guards against a speed that is taken from a server that states none."""
    assert PARSER.parse([("Server-Load", text)]).work_factor == work_factor


@pytest.mark.parametrize(
    "text", ["-1", "nan", "inf", "1e9", "2,5", "", "x", "1" * 30, "\u0663"]
)
def test_unreadable_values_are_left_out(text: str) -> None:
    """Guards against an error, or a limit that nobody has named."""
    statement = PARSER.parse([("Server-Limit", text), ("Server-Load", text)])
    assert statement.limit_per_s is None
    assert statement.load is None
    assert statement.has_unreadable_limit == bool(text)


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [
        ("3", 3.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("9" * 40, float("9" * 40)),
        ("-3", None),
        ("1e3", None),
        ("Sat, 05 Dec 2026 08:00:00 GMT", None),
        ("9" * 41, None),
    ],
)
def test_pause_of_a_refusal_is_read(text: str, pause_s: float | None) -> None:
    """Guards against an error, or a pause that nobody has asked for."""
    statement = PARSER.parse([("Retry-After", text)], 503)
    assert statement.pause_s == pause_s
    assert statement.has_unreadable_pause == (pause_s is None)
    # Other answers tell the caller when to return, not the instance.
    assert PARSER.parse([("Retry-After", text)], 200).pause_s is None
    assert PARSER.parse([("Retry-After", text)], 429).pause_s is None


@pytest.mark.parametrize(
    ("text", "leaving"),
    [("1", True), ("0", False), ("yes", False), ("", False)],
)
def test_leaving_is_read(text: str, leaving: bool) -> None:
    """Guards against a server that is taken out of use by mistake."""
    assert PARSER.parse([("server-leaving", text)]).leaving == leaving
