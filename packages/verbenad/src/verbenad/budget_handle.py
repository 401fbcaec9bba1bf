"""A budget with the taker through which this instance uses it."""

from dataclasses import dataclass

from verbenad.budget_loop import BudgetLoop
from verbenaworks.budget_spec import shard_of
from verbenaworks.budget_taker import BudgetTaker


@dataclass(frozen=True, kw_only=True, slots=True)
class BudgetHandle:
    """A budget's name, shard and taker; made once and kept.

    The shard is a hash of the name, which costs too much for each request.
    """

    name: str
    shard: int
    taker: BudgetTaker


def budget_handle(loop: BudgetLoop, name: str) -> BudgetHandle:
    """Return the handle of the budget with this name."""
    shard = shard_of(name)
    return BudgetHandle(name=name, shard=shard, taker=loop.taker_of(shard))
