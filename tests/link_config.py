"""A compiled configuration with two regions and their link rates."""

from standins.compiled_changes import compile_changes
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.edit import CreateBranch, SetValue

RATE = 1_000_000


def config_with_links(rate: int = RATE, other: int = 10**9) -> CompiledConfig:
    """Return a configuration with the regions ``near`` and ``far``.

    The link between them has the lower of the two rates.

    :param rate: rate of ``near``, in bytes per second.
    :param other: rate of ``far``, in bytes per second.
    """
    changes: list[CreateBranch | SetValue] = []
    for name, value in (("near", rate), ("far", other)):
        path = f"/regions/{name}"
        changes.append(CreateBranch(path=path))
        changes.append(
            SetValue(path=path, field="link_bytes_per_s", value=value)
        )
    return compile_changes(changes)
