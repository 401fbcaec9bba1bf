"""Configuration document: edits, concurrent edits and encoding."""

import contextlib
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.compiled_config import compile_config
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import (
    Change,
    CreateBranch,
    DeleteBranch,
    Edit,
    SetValue,
    UnsetValue,
)
from verbenaworks.errors import WireError
from verbenaworks.key_digest import create_key

_RANDOM = iter(range(1, 1000))


def _bytes(count: int) -> bytes:
    return next(_RANDOM).to_bytes(count, "big")


KEY = create_key(_bytes)


def make_edit(
    edit_id: str,
    *changes: Change,
    read: int = 0,
    expected: int | None = None,
    operator: str = "ana",
) -> Edit:
    """Return an edit of one operator."""
    return Edit(
        edit_id=edit_id,
        operator=operator,
        read_revision=read,
        expected_revision=expected,
        changes=changes,
    )


def set_value(path: str, field: str, value: object) -> SetValue:
    """Return a change that sets a value."""
    return SetValue(path=path, field=field, value=value)  # type: ignore


def sample() -> ConfigDocument:
    """Return a small deployment at revision 1."""
    target = "/services/orders/targets/t1"
    edit = make_edit(
        "setup",
        CreateBranch(path="/regions/west"),
        CreateBranch(path="/regions/east"),
        CreateBranch(path="/services/orders"),
        set_value("/services/orders", "host", "orders.example"),
        set_value("/services/orders", "deadline_s", 9),
        CreateBranch(path=target),
        set_value(target, "address", "127.0.0.1:9000"),
        set_value(target, "region", "west"),
        set_value(target, "failure_domain", "west-1"),
        set_value(target, "slots", 5),
        CreateBranch(path="/workspaces/acme"),
        set_value("/workspaces/acme", "rate_per_s", 20),
        set_value("/workspaces/acme", "burst", 10),
        CreateBranch(path=f"/workspaces/acme/keys/{KEY.key_id}"),
        set_value(f"/workspaces/acme/keys/{KEY.key_id}", "digest", KEY.digest),
        CreateBranch(path="/sites/port"),
        set_value("/sites/port", "region", "west"),
        set_value("/blocks", "10.1.0.0/16", "port"),
        set_value("/blocks", "2001:db8::/32", "port"),
    )
    return ConfigDocument().apply_edit(edit).unwrap()


def refusal_code(document: ConfigDocument, *changes: Change) -> str:
    """Return the code of the refusal of the changes."""
    edit = make_edit("x", *changes, read=document.config_revision)
    return document.apply_edit(edit).unwrap_err().code


def test_compiled_config() -> None:
    """Guards against settings that have no effect on requests."""
    document = sample()
    config = compile_config(document)
    service = config.services_by_host["orders.example"]
    assert service is config.services["orders"]
    assert service.targets["t1"].slots == 5
    assert config.policy("orders", "acme").deadline_s == 9.0
    match = config.keys.find(KEY.key)
    assert match is not None and match.workspace == "acme"
    assert config.keys.find(KEY.key + "0") is None
    assert config.keys.find("vk_unknown_00") is None


def test_withdrawn_key_is_not_found() -> None:
    """Guards against a withdrawn key that still gives access."""
    document = sample()
    assert compile_config(document).keys.find(KEY.key) is not None
    path = f"/workspaces/acme/keys/{KEY.key_id}"
    edit = make_edit("withdraw", DeleteBranch(path=path), read=1)
    after = document.apply_edit(edit).unwrap()
    assert compile_config(after).keys.find(KEY.key) is None


def test_override_order() -> None:
    """Guards against a service's value overriding the workspace's."""
    document = sample()
    override = "/workspaces/acme/services/orders"
    edit = make_edit(
        "1",
        set_value("/workspaces/acme", "deadline_s", 7),
        read=1,
    )
    document = document.apply_edit(edit).unwrap()
    policy = compile_config(document).policy("orders", "acme")
    assert policy.deadline_s == 7.0
    edit = make_edit(
        "2",
        CreateBranch(path=override),
        set_value(override, "deadline_s", 3),
        read=2,
    )
    document = document.apply_edit(edit).unwrap()
    assert document.tree.get(override, "deadline_s").origin_path == override
    config = compile_config(document)
    assert config.policy("orders", "acme").deadline_s == 3.0
    assert config.longest_deadline_s("orders") == 9.0
    longer = set_value(override, "deadline_s", 60)
    document = document.apply_edit(make_edit("3", longer, read=3)).unwrap()
    assert compile_config(document).longest_deadline_s("orders") == 60.0
    assert compile_config(document).policy("orders", None).deadline_s == 9.0


@pytest.mark.parametrize(
    ("code", "changes"),
    [
        ("invalid-value", [set_value("/workspaces/acme", "burst", -1)]),
        ("invalid-value", [set_value("/workspaces/acme", "burst", "many")]),
        ("invalid-value", [set_value("/workspaces/acme", "deadline", 1)]),
        ("invalid-value", [set_value("/blocks", "10.1.0.1/16", "port")]),
        ("unknown-path", [set_value("/workspaces/none", "burst", 1)]),
        ("invalid-path", [CreateBranch(path="/workspaces/A b")]),
        ("exists", [CreateBranch(path="/workspaces/acme")]),
        ("permanent-path", [DeleteBranch(path="/")]),
        ("burst-too-small", [set_value("/workspaces/acme", "burst", 3.9)]),
        (
            "burst-too-small",
            [
                set_value("/workspaces/acme", "rate_per_s", 2),
                set_value("/workspaces/acme", "burst", 0.9),
            ],
        ),
        ("dangling-reference", [DeleteBranch(path="/regions/west")]),
        ("dangling-reference", [DeleteBranch(path="/sites/port")]),
        ("dangling-reference", [set_value("/blocks", "10.2.0.0/16", "q")]),
        (
            "dangling-reference",
            [CreateBranch(path="/workspaces/acme/services/none")],
        ),
        ("missing-value", [CreateBranch(path="/services/orders/targets/t2")]),
        ("slots-above-limit", [set_value("/regions/west", "slot_limit", 4)]),
        ("not-set", [UnsetValue(path="/", field="burst")]),
        (
            "no-writer",
            [
                CreateBranch(path="/operators/ana"),
                set_value("/operators/ana", "token_digest", KEY.digest),
            ],
        ),
        (
            "step-above-cap",
            [
                CreateBranch(path="/shifts/s"),
                set_value("/shifts/s", "from_region", "west"),
                set_value("/shifts/s", "to_region", "east"),
                set_value("/shifts/s", "cap_share", 0.2),
                set_value("/shifts/s", "step_share", 0.3),
            ],
        ),
        (
            "duplicate",
            [
                CreateBranch(path="/services/b"),
                set_value("/services/b", "host", "orders.example"),
            ],
        ),
    ],
)
def test_refusals(code: str, changes: list[Change]) -> None:
    """Guards against edits that leave an inconsistent configuration."""
    assert refusal_code(sample(), *changes) == code


def test_concurrent_edit_does_not_overwrite() -> None:
    """Guards against one operator silently undoing another's change."""
    document = sample()
    first = make_edit("a", set_value("/", "lookup_ttl_s", 3), read=1)
    document = document.apply_edit(first).unwrap()
    second = make_edit(
        "b", set_value("/", "lookup_ttl_s", 9), read=1, operator="ben"
    )
    assert document.apply_edit(second).unwrap_err().code == "concurrent-edit"
    other = make_edit("c", set_value("/regions/west", "drain", True), read=1)
    rebased = document.apply_edit(other).unwrap()
    assert rebased.config_revision == 3
    delete = make_edit("d", DeleteBranch(path="/regions/west"), read=2)
    assert rebased.apply_edit(delete).unwrap_err().code == "concurrent-edit"


def test_delete_conflicts_with_a_change_below() -> None:
    """Guards against deleting changes that the operator has not seen."""
    document = sample()
    below = CreateBranch(path="/workspaces/acme/services/orders")
    document = document.apply_edit(make_edit("a", below, read=1)).unwrap()
    outer = make_edit("b", DeleteBranch(path="/workspaces/acme"), read=1)
    assert document.apply_edit(outer).unwrap_err().code == "concurrent-edit"
    document = document.apply_edit(replace(outer, read_revision=2)).unwrap()
    late = make_edit("c", below, read=2)
    assert document.apply_edit(late).unwrap_err().code == "concurrent-edit"


def test_concurrent_edits_of_one_block() -> None:
    """Guards against missing a conflict of two notations of one block."""
    document = sample()
    first = make_edit("a", set_value("/blocks", "2001:db9::/32", "port"))
    document = document.apply_edit(replace(first, read_revision=1)).unwrap()
    same = make_edit("b", set_value("/blocks", "2001:DB9:0::/32", "port"))
    result = document.apply_edit(replace(same, read_revision=1))
    assert result.unwrap_err().code == "concurrent-edit"
    other = make_edit("c", set_value("/blocks", "2001:dba::/32", "port"))
    assert document.apply_edit(replace(other, read_revision=1)).is_ok()


def test_expected_revision() -> None:
    """Guards against applying an edit to another revision than expected."""
    change = set_value("/", "lookup_ttl_s", 3)
    document = sample()
    refused = document.apply_edit(make_edit("a", change, expected=0))
    assert refused.unwrap_err().code == "revision-mismatch"
    accepted = document.apply_edit(make_edit("a", change, expected=1, read=1))
    assert accepted.unwrap().config_revision == 2


def test_repeated_edit_is_applied_once() -> None:
    """Guards against a resent edit that is applied twice."""
    document = sample()
    block = set_value("/blocks", "10.9.0.0/16", "port")
    edit = make_edit("a", block, read=1)
    document = document.apply_edit(edit).unwrap()
    undo = make_edit(
        "b", UnsetValue(path="/blocks", field="10.9.0.0/16"), read=2
    )
    document = document.apply_edit(undo).unwrap()
    again = document.apply_edit(replace(edit, sent_at_s=5.0)).unwrap()
    assert again is document
    reused = make_edit("a", set_value("/", "burst", 60), read=3)
    assert document.apply_edit(reused).unwrap_err().code == "edit-id-reused"


def test_cancelled_edit_is_refused() -> None:
    """Guards against a cancelled edit that arrives late and is applied."""
    document = sample().apply_edit(make_edit("a", read=1)).unwrap()
    late = make_edit("a", set_value("/", "lookup_ttl_s", 3), read=1)
    assert document.apply_edit(late).unwrap_err().code == "edit-cancelled"


def test_replay_gives_the_writers_document() -> None:
    """Guards against instances that differ from the writer after a delta."""
    document = sample()
    edit = make_edit("a", DeleteBranch(path="/regions/east"), read=1)
    written = document.apply_edit(edit).unwrap()
    (accepted,) = written.edits_since(1) or ()
    replayed = document.replay(accepted).unwrap()
    assert replayed.to_bytes() == written.to_bytes()
    assert written.replay(accepted).is_err()
    assert written.edits_since(-1) is None


def test_edit_id_that_left_the_history_is_refused() -> None:
    """Guards against a very late resend being applied a second time."""
    document = sample()
    edit = make_edit("late", set_value("/", "lookup_ttl_s", 3), read=1)
    document = document.apply_edit(edit).unwrap()
    for number in range(256):
        change = set_value("/regions/west", "drain", number % 2 == 0)
        other = make_edit(f"n{number}", change, read=document.config_revision)
        document = document.apply_edit(other).unwrap()
    assert len(document.history) == 256
    assert document.apply_edit(edit).unwrap_err().code == "revision-too-old"


def test_round_trip() -> None:
    """Guards against settings lost between the store and an instance."""
    document = sample()
    decoded = ConfigDocument.from_bytes(document.to_bytes())
    assert decoded == document
    assert decoded.to_bytes() == document.to_bytes()
    assert compile_config(decoded).keys.find(KEY.key) is not None


@settings(derandomize=True, max_examples=300, database=None)
@given(st.binary(max_size=64), st.integers(0, 10_000))
def test_damaged_bytes_raise_only_wire_errors(data: bytes, at: int) -> None:
    """Guards against a damaged store value that stops the watcher."""
    good = sample().to_bytes()
    at %= len(good)
    for damaged in (data, good[:at] + data, good[:at] + data + good[at:]):
        with contextlib.suppress(WireError):
            ConfigDocument.from_bytes(damaged)


def test_decoding_shares_only_unchanged_blocks() -> None:
    """Guards against outdated blocks and unnecessary decoding."""
    first = ConfigDocument.from_bytes(sample().to_bytes())
    other = make_edit("other", set_value("/", "lookup_ttl_s", 4.0), read=1)
    later = first.apply_edit(other).unwrap()
    shared = ConfigDocument.from_bytes(later.to_bytes(), first)
    assert shared == later
    assert shared.tree.blocks is first.tree.blocks
    block = make_edit(
        "block", set_value("/blocks", "10.9.0.0/16", "port"), read=2
    )
    newest = later.apply_edit(block).unwrap()
    decoded = ConfigDocument.from_bytes(newest.to_bytes(), shared)
    assert decoded == newest
    assert decoded.tree.blocks.site_of("10.9.0.0/16") == "port"
