"""What backend servers say of themselves in their responses."""

import pytest

from verbenad.field_names import FieldNames
from verbenad.steering.server_statement import ServerStatement, StatementParser

PARSER = StatementParser(FieldNames(load="Server-Load", limit="Server-Limit"))


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
    "text", ["-1", "nan", "inf", "1e9", "2,5", "", "x", "1" * 30, "\u0663"]
)
def test_unreadable_values_are_left_out(text: str) -> None:
    """Guards against an error, or a limit that nobody has named."""
    statement = PARSER.parse([("Server-Limit", text), ("Server-Load", text)])
    assert statement.limit_per_s is None
    assert statement.load is None
    assert statement.has_unreadable_limit == bool(text)
