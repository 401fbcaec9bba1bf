"""A configuration with two regions and their links."""

from standins.compiled_changes import compile_changes
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.edit import CreateBranch, SetValue

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
    return compile_changes(changes)
