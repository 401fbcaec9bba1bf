"""Compiled configurations for models and tests."""

from collections.abc import Iterable

from verbenaworks.compiled_config import CompiledConfig, compile_config
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Change, Edit


def compile_changes(changes: Iterable[Change]) -> CompiledConfig:
    """Apply changes to an empty configuration and return it compiled.

    :raises result.UnwrapError: if the changes are refused.
    """
    edit = Edit(
        edit_id="e", operator="o", read_revision=0, changes=tuple(changes)
    )
    return compile_config(ConfigDocument().apply_edit(edit).unwrap())
