"""A budget with the taker through which this instance uses it."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from verbenad.budget_loop import BudgetLoop
from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_spec import Budget, shard_of


@dataclass(frozen=True, kw_only=True, slots=True)
class BudgetHandle:
    """A budget's name, shard and taker; made once and kept.

    The shard is a hash of the name, which costs too much for each request.
    """

    name: str
    shard: int
    taker: BudgetClient


def budget_handle(loop: BudgetLoop, name: str) -> BudgetHandle:
    """Return the handle of the budget with this name."""
    shard = shard_of(name)
    return BudgetHandle(name=name, shard=shard, taker=loop.taker_of(shard))


def handles_in_order(
    loop: BudgetLoop, parts: Iterable[Budget], key: str
) -> list[BudgetHandle]:
    """Return the handles of a divided budget's parts.

    The key decides which part comes first. With the instance's name in it,
    instances begin with different parts, so that each part serves few of
    them.
    """
    handles = [budget_handle(loop, part.name) for part in parts]
    first = zlib.crc32(key.encode()) % len(handles)
    return handles[first:] + handles[:first]
