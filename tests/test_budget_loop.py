"""Timing of an instance's exchanges with the owners of budgets."""

from collections.abc import Callable
from typing import Any

import msgspec

from verbenad.budget_loop import IDLE_TICK_S, TICK_S, BudgetLoop
from verbenad.bus import Sender
from verbenad.directory import OwnerView
from verbenaworks.budget_client import EXCHANGE_INTERVAL_S, SHORTAGE_INTERVAL_S
from verbenaworks.budget_spec import Budget, ConcurrencyBudget, shard_of
from verbenaworks.control_record import InstanceId
from verbenaworks.grant import GrantReply, GrantRequest, GrantRequestEntry
from verbenaworks.owner_lease import OwnerLease
from verbenaworks.virtual_timers import VirtualTimers

_BUDGET = "slots/s/t"
_SHARD = shard_of(_BUDGET)


class _World:
    """A budget loop that gets only the replies that the test sends."""

    def __init__(self, monkeypatch: Any) -> None:
        self.timers = VirtualTimers()
        self.sent: list[tuple[float, Any]] = []
        self.lease_checks = 0
        self.epoch: int | None = None
        self._handlers: dict[type, Callable[[Sender, Any], None]] = {}
        budgets: list[Budget] = [ConcurrencyBudget(name=_BUDGET, capacity=4)]
        monkeypatch.setattr(
            "verbenad.budget_loop.plan_budgets", lambda _config: budgets
        )
        self.loop = BudgetLoop(
            instance=InstanceId(name="e1", incarnation=1),
            agreement=self,  # type: ignore[arg-type]
            bus=self,  # type: ignore[arg-type]
            directory=self,  # type: ignore[arg-type]
            timers=self.timers,
            on_granted=lambda: None,
        )
        self.loop.set_config(None)  # type: ignore[arg-type]

    def subscribe(
        self, message_type: type, handler: Callable[[Sender, Any], None]
    ) -> None:
        self._handlers[message_type] = handler

    def send(self, _address: str, message: Any) -> None:
        self.sent.append((self.timers.now_s(), message))

    def receive(self, message: Any) -> None:
        sender = Sender(name="e2", address="e2")
        self._handlers[type(message)](sender, message)

    def owner(self, _shard: int) -> OwnerView:
        return OwnerView(bus_address="e2", epoch=1, is_self=False)

    def lease(self, shard: int) -> OwnerLease | None:
        self.lease_checks += shard == _SHARD
        if self.epoch is None:
            return None
        return OwnerLease(
            shard=shard, epoch=self.epoch, is_valid=lambda _now_s: True
        )

    def reply(self) -> None:
        """Reply to the latest request and clear the recorded requests."""
        request = self.sent[-1][1]
        self.sent.clear()
        self.receive(
            GrantReply(
                shard=_SHARD,
                epoch=1,
                incarnation=1,
                seq=request.seq,
                entries=(),
            )
        )

    def set_demand(self, amount: int) -> None:
        client = self.loop.client_of(_SHARD)
        client.set_demand(self.timers.now_s(), _BUDGET, {"w": amount})
        self.loop.send_if_due(_SHARD)


def test_an_idle_loop_sleeps(monkeypatch: Any) -> None:
    """Guards against 50 ticks a second when there is nothing to send."""
    world = _World(monkeypatch)
    world.loop.start()
    world.timers.advance(10.0)
    assert world.lease_checks <= 10.0 / IDLE_TICK_S + 1
    assert world.sent == []


def test_requests_are_sent_when_they_are_due(monkeypatch: Any) -> None:
    """Guards against callers who wait for the idle loop's next tick."""
    world = _World(monkeypatch)
    world.loop.start()
    world.timers.advance(10 * IDLE_TICK_S + 0.1)
    world.set_demand(1)
    assert [at_s for at_s, _ in world.sent] == [world.timers.now_s()]
    # The first reply only reports the owner's epoch.
    world.reply()
    world.reply()
    assert world.sent == []
    # The remaining shortage makes a request due after the minimum interval.
    requested_at_s = world.timers.now_s()
    world.set_demand(2)
    assert world.sent == []
    world.timers.advance(SHORTAGE_INTERVAL_S + TICK_S)
    assert len(world.sent) == 1
    assert world.sent[0][0] <= requested_at_s + SHORTAGE_INTERVAL_S + TICK_S


def test_regular_requests_go_on(monkeypatch: Any) -> None:
    """Guards against grants that expire because the loop went idle."""
    world = _World(monkeypatch)
    world.loop.start()
    world.set_demand(1)
    for _ in range(20):
        world.reply()
        world.set_demand(1)
        world.timers.advance(EXCHANGE_INTERVAL_S + TICK_S)
        assert world.sent


def test_a_new_owner_answers_at_once(monkeypatch: Any) -> None:
    """Guards against requests lost until the new owner's next tick."""
    world = _World(monkeypatch)
    world.loop.start()
    world.timers.advance(1.0)
    request = GrantRequest(
        shard=_SHARD,
        epoch=1,
        taker="e2",
        incarnation=1,
        seq=1,
        entries=(GrantRequestEntry(budget=_BUDGET, kept=0),),
    )
    world.receive(request)
    assert world.sent == []
    world.epoch = 1
    world.receive(request)
    assert [type(message) for _, message in world.sent] == [GrantReply]
    # After the loss of ownership, the previous state must not reply.
    world.epoch = None
    world.receive(msgspec.structs.replace(request, seq=2))
    assert len(world.sent) == 1
