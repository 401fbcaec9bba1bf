"""Measurement of links' use by querying the owners of their parts."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from fake_budget_loop import FakeLoop
from link_config import RATE, config_with_links
from verbenad.budget_plan import link_parts, plan_budgets
from verbenad.bus import Sender
from verbenad.link_usage import LinkUsage
from verbenaworks.budget_owner import DEMAND_SETTLE_S
from verbenaworks.budget_spec import shard_of
from verbenaworks.link_messages import LinkUse
from verbenaworks.link_meter import TOKEN_BYTES


class _Bus:
    """Delivers each message to its sender."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[Sender, Any], None]] = {}

    def subscribe(
        self, kind: type, handler: Callable[[Sender, Any], None]
    ) -> None:
        self.handlers[kind] = handler

    def send(self, address: str, message: Any) -> None:
        handler = self.handlers[type(message)]
        handler(Sender(name="e1", address=address), message)


class _World:
    """Owners that do not reply for the shards in ``lost_shards``."""

    def __init__(self) -> None:
        self.clock = [100.0]
        self.config = config_with_links()
        self.lost_shards: set[int] = set()
        budgets = plan_budgets(self.config)
        self.loop = FakeLoop(budgets, self.clock, started_at_s=100.0)
        self.usage = LinkUsage(
            loop=SimpleNamespace(demand=self._demand),  # type: ignore[arg-type]
            bus=_Bus(),  # type: ignore[arg-type]
            directory=SimpleNamespace(  # type: ignore[arg-type]
                owner=lambda shard: SimpleNamespace(bus_address="here")
            ),
            now_s=lambda: self.clock[0],
        )

    def _demand(self, budget: str) -> tuple[int, int] | None:
        if shard_of(budget) in self.lost_shards:
            return None
        return self.loop.demand(budget)

    def run(self, duration_s: float, bytes_per_s: float = 0.0) -> None:
        """Let a client demand a rate of the link from near to far."""
        parts = link_parts(self.config, "near", "far")
        share = round(bytes_per_s / TOKEN_BYTES / len(parts) / 4)
        for _ in range(round(duration_s * 4)):
            for part in parts:
                self.loop.client_of(shard_of(part.name)).note_demand(
                    self.clock[0], part.name, "", missing=0, demand=share
                )
            self.loop.advance(0.25)

    def measure(self) -> Any:
        self.usage.ask(self.config, "far")
        (link,) = self.usage.measure(self.config, "far")
        return link


def test_free_capacity_follows_the_demand() -> None:
    """Guards against a full link that appears free to a shift."""
    world = _World()
    world.run(DEMAND_SETTLE_S)
    assert world.measure().free_share == 1.0
    world.run(10.0, 2 * RATE)
    assert world.measure().free_share < 0.0
    world.run(20.0, RATE / 2)
    assert 0.3 < world.measure().free_share < 0.7


def test_an_owner_that_does_not_know_the_demand_measures_nothing() -> None:
    """Guards against a new owner that reports an unknown demand as none."""
    world = _World()
    world.run(DEMAND_SETTLE_S - 0.25, RATE)
    assert world.measure().free_share is None
    world.run(0.25, RATE)
    assert world.measure().free_share is not None


def test_an_answer_gets_old() -> None:
    """Guards against a measurement that stays fresh after an owner fails."""
    world = _World()
    world.run(DEMAND_SETTLE_S)
    world.measure()
    part = link_parts(world.config, "near", "far")[0]
    world.lost_shards.add(shard_of(part.name))
    world.run(6.0)
    assert world.measure().age_s == 6.0
    handler = world.usage._bus.handlers[LinkUse]  # type: ignore[attr-defined]
    handler(Sender(name="e2", address="x"), LinkUse(asked_s=1e9, parts=()))
    assert world.measure().age_s == 6.0
