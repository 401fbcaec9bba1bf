"""Checks of a key before its request goes to a backend server."""

import secrets
from types import SimpleNamespace

import pytest
from result import Ok

from verbenad.authentication import recheck_key
from verbenad.refusal_error import RefusalError
from verbenaworks.compiled_config import CompiledConfig, compile_config
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import (
    Change,
    CreateBranch,
    DeleteBranch,
    Edit,
    SetValue,
)
from verbenaworks.key_digest import create_key

KEY = create_key(secrets.token_bytes)
_PATH = f"/workspaces/w/keys/{KEY.key_id}"


def _edited(document: ConfigDocument, *changes: Change) -> ConfigDocument:
    edit = Edit(
        edit_id=str(document.config_revision),
        operator="o",
        read_revision=document.config_revision,
        changes=changes,
    )
    match document.apply_edit(edit):
        case Ok(changed):
            return changed
        case other:
            raise AssertionError(other)


def _configs() -> tuple[CompiledConfig, CompiledConfig, CompiledConfig]:
    """Return a configuration, one with another edit, one without the key."""
    first = _edited(
        ConfigDocument(),
        CreateBranch(path="/workspaces/w"),
        CreateBranch(path=_PATH),
        SetValue(path=_PATH, field="digest", value=KEY.digest),
    )
    other = _edited(
        first, SetValue(path="/workspaces/w", field="burst", value=50.0)
    )
    withdrawn = _edited(other, DeleteBranch(path=_PATH))
    return (
        compile_config(first),
        compile_config(other),
        compile_config(withdrawn),
    )


def _call(config: CompiledConfig) -> SimpleNamespace:
    return SimpleNamespace(
        workspace="w",
        request_id="r",
        config_revision=config.config_revision,
        head=SimpleNamespace(values=lambda name: [KEY.key]),
    )


def test_withdrawn_key_stops_a_request_that_waited() -> None:
    """Guards against a run long after the key was withdrawn.

    An instance that was paused between the check of a key and the choice of
    a target ran an order 8.7 s after the withdrawal (fault run, seed 25).
    """
    first, _, withdrawn = _configs()
    with pytest.raises(RefusalError) as caught:
        recheck_key(_call(first), withdrawn, lambda: True)  # type: ignore[arg-type]
    assert caught.value.refusal.code == "key-unknown"


def test_stale_instance_stops_a_request_that_waited() -> None:
    """Guards against a run by an instance that lost contact meanwhile.

    Such an instance does not learn that a key was withdrawn.
    """
    first, _, _ = _configs()
    with pytest.raises(RefusalError) as caught:
        recheck_key(_call(first), first, lambda: False)  # type: ignore[arg-type]
    assert caught.value.refusal.code == "not-fresh"


def test_other_edits_do_not_stop_a_request() -> None:
    """Guards against wrongful refusals after each edit."""
    first, other, _ = _configs()
    recheck_key(_call(first), other, lambda: True)  # type: ignore[arg-type]
