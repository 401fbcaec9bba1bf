"""A budget with the client through which this instance uses it."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from verbenad.budget_loop import BudgetLoop
from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_spec import Budget, shard_of


@dataclass(frozen=True, kw_only=True, slots=True)
class BudgetHandle:
    """A budget's name, shard and client.

    Handles are kept, because hashing the name to find its shard costs too
    much to do for each request.
    """

    name: str
    shard: int
    client: BudgetClient


def budget_handle(loop: BudgetLoop, name: str) -> BudgetHandle:
    """Return the handle of the budget with this name."""
    shard = shard_of(name)
    return BudgetHandle(name=name, shard=shard, client=loop.client_of(shard))


def handles_in_order(
    loop: BudgetLoop, parts: Iterable[Budget], key: str
) -> list[BudgetHandle]:
    """Return the handles of a divided budget's parts.

    The key decides which part comes first. If it contains the name of the
    instance, instances begin with different parts, so that each part is used
    by few of them.
    """
    handles = [budget_handle(loop, part.name) for part in parts]
    first = zlib.crc32(key.encode()) % len(handles)
    return handles[first:] + handles[:first]
