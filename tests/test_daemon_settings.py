"""Process settings and their documentation."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import settings_table
from verbenad.daemon_settings import (
    PROCESS_SETTINGS,
    read_settings,
    read_settings_or_exit,
)

GOOD = {
    "VERBENAD_NAME": "entry-1",
    "VERBENAD_DEPLOYMENT": "matunda",
    "VERBENAD_REGION": "nairobi",
    "VERBENAD_FAILURE_DOMAIN": "nairobi-1",
    "VERBENAD_CALLER_ADDRESS": "127.0.0.1:8000",
    "VERBENAD_ADMIN_ADDRESS": "127.0.0.1:8001",
    "VERBENAD_BUS_ADDRESS": "[::1]:8002",
    "VERBENAD_STORE_URL": "http://127.0.0.1:7700",
    "VERBENAD_INSTANCES_URL": "http://127.0.0.1:7701/instances",
}


def test_flag_takes_precedence() -> None:
    """Guards against an inherited variable that overrides a flag."""
    flags = ["--name", "entry-2", "--header-limit-s=3"]
    found = read_settings(flags, {**GOOD, "HOME": "/"}).unwrap()
    assert found.name == "entry-2"
    assert found.header_limit_s == 3.0
    assert found.region == "nairobi"
    assert found.bootstrap_token is None


@pytest.mark.parametrize(
    ("variable", "value", "shown"),
    [
        ("VERBENAD_CALLER_ADDRESS", "localhost:80", "localhost:80"),
        ("VERBENAD_CALLER_ADDRESS", "127.0.0.1:70000", "70000"),
        ("VERBENAD_STORE_URL", "127.0.0.1:7700", "127.0.0.1:7700"),
        ("VERBENAD_LOG_LEVEL", "loud", "loud"),
        ("VERBENAD_MAX_CONNECTIONS", "0", "'0'"),
        ("VERBENAD_HEADER_LIMIT_S", "nan", "nan"),
        ("VERBENAD_REGOIN", "nairobi", "VERBENAD_REGOIN"),
    ],
)
def test_wrong_setting(
    variable: str,
    value: str,
    shown: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against start-up errors that do not name the setting."""
    with pytest.raises(SystemExit) as exit_info:
        read_settings_or_exit([], {**GOOD, variable: value})
    assert exit_info.value.code == 2
    printed = capsys.readouterr().err
    assert variable in printed and shown in printed and "remedy" in printed


def test_missing_and_secret_settings() -> None:
    """Guards against a secret in an error and an unnoticed missing setting."""
    secret = {"VERBENAD_BOOTSTRAP_TOKEN": "short"}
    error = read_settings([], {**GOOD, **secret}).unwrap_err()
    assert "short" not in str(error)
    for variable in GOOD:
        rest = {k: v for k, v in GOOD.items() if k != variable}
        assert variable in str(read_settings([], rest).unwrap_err())


@settings(derandomize=True, max_examples=200, database=None)
@given(st.sampled_from(PROCESS_SETTINGS), st.text(max_size=20))
def test_arbitrary_values(setting: object, value: str) -> None:
    """Guards against a value that ends start-up with a traceback."""
    variable = setting.variable  # type: ignore[attr-defined]
    with contextlib.suppress(SystemExit):
        read_settings_or_exit([], {**GOOD, variable: value})


def test_settings_page_is_up_to_date() -> None:
    """Guards against documentation that differs from the declarations."""
    page = settings_table.PAGE.read_text(encoding="utf-8")
    assert page == settings_table.render(), (
        "run: python tools/settings_table.py"
    )
