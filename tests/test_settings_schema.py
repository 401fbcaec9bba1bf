"""Parsers of paths, values, keys and settings files."""

import contextlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fake_agreement import FakeAgreement
from test_admin_api import request
from test_config_document import KEY, sample
from verbena.cli_errors import UsageError
from verbena.settings_file import plan_import, read_settings
from verbenaworks.admin_messages import (
    EDITS_PATH,
    answer_from_json,
    status_from_json,
)
from verbenaworks.compiled_config import compile_config
from verbenaworks.errors import SettingError, WireError
from verbenaworks.settings_path import level_of
from verbenaworks.settings_schema import FIELDS, parse_value
from verbenaworks.value_kind import check, format_value, parse

VALUES = st.one_of(
    st.text(max_size=20),
    st.floats().map(str),
    st.integers().map(str),
    st.lists(st.sampled_from(["GET", "a", "*", "B c"])).map(",".join),
    st.from_regex(r"[0-9.\[\]:a-f]{1,12}:[0-9]{1,6}", fullmatch=True),
)


@settings(derandomize=True, max_examples=500, database=None)
@given(st.sampled_from(sorted(FIELDS)), VALUES)
def test_parsed_values_are_allowed_and_can_be_formatted(
    name: str, text: str
) -> None:
    """Guards against values that get and set treat differently."""
    kind = FIELDS[name].kind
    parsed = parse(kind, text)
    if parsed.is_ok():
        value = parsed.unwrap()
        assert check(kind, value) == parsed
        assert parse(kind, format_value(value)) == parsed


@settings(derandomize=True, max_examples=300, database=None)
@given(st.text(max_size=30), st.text(max_size=10))
def test_arbitrary_paths(path: str, name: str) -> None:
    """Guards against a path that raises instead of being refused."""
    for candidate in (path, "/regions/" + path, "/workspaces/a/keys/" + path):
        if level_of(candidate).is_err():
            assert parse_value(candidate, name, "1").is_err()


@settings(derandomize=True, max_examples=300, database=None)
@given(st.text(max_size=300), st.integers(0, 100))
def test_arbitrary_keys(text: str, at: int) -> None:
    """Guards against a malformed key that raises or gives access."""
    keys = compile_config(sample()).keys
    at %= len(KEY.key)
    for presented in (text, KEY.key[:at] + text, f"vk_{KEY.key_id}_{text}"):
        if presented != KEY.key:
            assert keys.find(presented) is None


@settings(derandomize=True, max_examples=300, database=None)
@given(st.binary(max_size=80))
def test_arbitrary_answers_and_files(data: bytes) -> None:
    """Guards against a traceback in the command line."""
    for decoder in (answer_from_json, status_from_json):
        with contextlib.suppress(WireError):
            decoder(data)
    with contextlib.suppress(UsageError, SettingError):
        read_settings(data)


@pytest.mark.parametrize(
    "value",
    ["1" + "0" * 40, "-1e999", '"\\ud800"', "[[]]", "null", "1.5", "true"],
)
def test_extreme_json_values(value: str) -> None:
    """Guards against values that JSON allows but the store does not."""
    agreement = FakeAgreement(sample())
    edit = (
        '{"edit_id": "a", "operator": "", "read_revision": %s, "changes": '
        '[{"type": "SetValue", "path": "/", "field": "max_body_bytes", '
        '"value": %s}]}'
    )
    for body in (edit % (1, value), edit % (value, 5)):
        status, _ = request(agreement, "POST", EDITS_PATH, body.encode())
        assert status[:3] in ("400", "409"), body
    assert agreement.document().config_revision == 1


def test_import_order_resolves_references() -> None:
    """Guards against an import edit that refers to a later one."""
    exported = {
        "format": "verbena-settings-1",
        "branches": {
            "/shifts/s": {"from_region": "a", "to_region": "b"},
            "/regions/a": {},
            "/regions/b": {},
            "/sites/x": {"region": "a"},
        },
        "blocks": {"10.0.0.0/8": "x"},
    }
    wanted = read_settings(json.dumps(exported).encode())
    (edit,) = plan_import(sample().tree, wanted, replace=False)
    paths = [change.path for change in edit]
    assert paths.index("/regions/b") < paths.index("/sites/x")
    assert paths.index("/regions/b") < paths.index("/shifts/s")
    assert paths.index("/sites/x") < paths.index("/blocks")
