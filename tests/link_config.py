"""A configuration with two regions and their links."""

from result import Ok

from verbenaworks.compiled_config import CompiledConfig, compile_config
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import CreateBranch, Edit, SetValue

RATE = 1_000_000


def config_with_links(rate: int = RATE, other: int = 10**9) -> CompiledConfig:
    """Return two regions; the lower rate is that of their links."""
    changes: list[CreateBranch | SetValue] = []
    for name, value in (("near", rate), ("far", other)):
        path = f"/regions/{name}"
        changes.append(CreateBranch(path=path))
        changes.append(
            SetValue(path=path, field="link_bytes_per_s", value=value)
        )
    edit = Edit(
        edit_id="e", operator="o", read_revision=0, changes=tuple(changes)
    )
    match ConfigDocument().apply_edit(edit):
        case Ok(document):
            return compile_config(document)
        case refused:
            raise AssertionError(refused)
