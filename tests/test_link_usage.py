"""Measurement of links by the owners of their parts."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from link_config import RATE, config_with_links
from verbenad.budget_plan import link_parts, plan_budgets
from verbenad.bus import Sender
from verbenad.link_usage import LinkUsage
from verbenaworks.budget_owner import DEMAND_KNOWN_S, BudgetOwner
from verbenaworks.budget_spec import shard_of
from verbenaworks.budget_taker import BudgetTaker
from verbenaworks.control_record import SHARDS
from verbenaworks.link_messages import LinkUse
from verbenaworks.link_meter import TOKEN_BYTES


class _Bus:
    """Delivers to the sender itself; ``lost`` is the shard that is cut off."""

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
    def __init__(self) -> None:
        self.now_s = 100.0
        self.config = config_with_links()
        self.lost: set[int] = set()
        budgets = plan_budgets(self.config)
        lease = SimpleNamespace(epoch=1, is_valid=lambda now_s: True)
        self.takers, self.owners = [], []
        for shard in range(SHARDS):
            taker = BudgetTaker(shard=shard, taker="e1", incarnation=1)
            taker.configure(0.0, budgets)
            taker.owner_changed(1)
            owner = BudgetOwner(
                shard=shard, lease=lease, started_at_s=100.0, wait_s=0.0
            )
            owner.configure(0.0, budgets)
            self.takers.append(taker)
            self.owners.append(owner)
        self.usage = LinkUsage(
            loop=SimpleNamespace(demand=self._demand),  # type: ignore[arg-type]
            bus=_Bus(),  # type: ignore[arg-type]
            directory=SimpleNamespace(  # type: ignore[arg-type]
                owner=lambda shard: SimpleNamespace(bus_address="here")
            ),
            now_s=lambda: self.now_s,
        )

    def _demand(self, budget: str) -> tuple[int, int] | None:
        shard = shard_of(budget)
        if shard in self.lost:
            return None
        return self.owners[shard].demand(self.now_s, budget)

    def run(self, duration_s: float, bytes_per_s: float = 0.0) -> None:
        """Let a taker want a rate of the link from near to far."""
        parts = link_parts(self.config, "near", "far")
        for _ in range(round(duration_s * 4)):
            self.now_s += 0.25
            share = bytes_per_s / TOKEN_BYTES / len(parts) / 4
            for part in parts:
                taker = self.takers[shard_of(part.name)]
                taker.ask(
                    self.now_s, part.name, "", lack=0, demand=round(share)
                )
            for taker, owner in zip(self.takers, self.owners, strict=True):
                request = taker.next_request(self.now_s)
                reply = request and owner.handle(self.now_s, request)
                if reply:
                    taker.accept(self.now_s, reply)

    def measure(self) -> Any:
        self.usage.ask(self.config, "far")
        (link,) = self.usage.measure(self.config, "far")
        return link


def test_free_capacity_follows_the_demand() -> None:
    """Guards against a full link that a shift takes for free."""
    world = _World()
    world.run(DEMAND_KNOWN_S)
    assert world.measure().free_share == 1.0
    world.run(10.0, 2 * RATE)
    assert world.measure().free_share < 0.0
    world.run(20.0, RATE / 2)
    assert 0.3 < world.measure().free_share < 0.7


def test_an_owner_that_does_not_know_the_demand_measures_nothing() -> None:
    """Guards against a new owner that takes its ignorance for a free link."""
    world = _World()
    world.run(DEMAND_KNOWN_S - 0.25, RATE)
    assert world.measure().free_share is None
    world.run(0.25, RATE)
    assert world.measure().free_share is not None


def test_an_answer_gets_old() -> None:
    """Guards against a measurement that stays new after an owner died."""
    world = _World()
    world.run(DEMAND_KNOWN_S)
    world.measure()
    part = link_parts(world.config, "near", "far")[0]
    world.lost.add(shard_of(part.name))
    world.run(6.0)
    assert world.measure().age_s == 6.0
    handler = world.usage._bus.handlers[LinkUse]  # type: ignore[attr-defined]
    handler(Sender(name="e2", address="x"), LinkUse(asked_s=1e9, parts=()))
    assert world.measure().age_s == 6.0
