"""Tokens of a workspace whose rate is divided into parts."""

from collections.abc import Callable
from types import SimpleNamespace

from verbenad.budget_plan import TURN_S, rate_parts
from verbenad.rate_gate import RateGate
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import shard_of
from verbenaworks.budget_taker import BudgetTaker
from verbenaworks.compiled_config import WorkspaceConfig
from verbenaworks.control_record import SHARDS

_WORKSPACE = WorkspaceConfig(
    name="acme",
    rate_per_s=80.0,
    burst=80.0,
    allowed_services=frozenset(),
    policies={},
)


class _Loop:
    """Takers of all shards; sends nothing."""

    def __init__(self) -> None:
        parts = rate_parts(_WORKSPACE)
        self.names = [part.name for part in parts]
        self.takers = [
            BudgetTaker(shard=shard, taker="i", incarnation=1)
            for shard in range(SHARDS)
        ]
        for taker in self.takers:
            taker.configure(0.0, parts)

    def taker_of(self, shard: int) -> BudgetTaker:
        return self.takers[shard]

    def kick(self, shard: int) -> None:
        pass

    def asking(self) -> list[str]:
        """Return the parts whose owners would be asked."""
        return [
            name
            for name in self.names
            if self.taker_of(shard_of(name)).due_at_s() < float("inf")
        ]

    def grant(self, name: str) -> None:
        """Let a part have tokens by 10 s, and no caller that waits."""
        shard = shard_of(name)
        lease = SimpleNamespace(epoch=1, is_valid=lambda now_s: True)
        owner = BudgetOwner(
            shard=shard, lease=lease, started_at_s=-100.0, wait_s=0.0
        )
        owner.configure(0.0, rate_parts(_WORKSPACE))
        taker = self.taker_of(shard)
        taker.try_take(9.0, name, "acme")
        for _ in range(2):
            request = taker.next_request(9.0)
            assert request is not None
            reply = owner.handle(9.0, request)
            assert reply is not None
            taker.accept(9.0, reply)


def _gate(loop: _Loop, now_s: Callable[[], float]) -> RateGate:
    gate = RateGate(instance="i", loop=loop, now_s=now_s)
    gate.set_config(SimpleNamespace(workspaces={"acme": _WORKSPACE}))
    return gate


def test_lack_is_stated_to_one_owner() -> None:
    """Guards against a rate in parts that are too small to use.

    Each call counted as demand at all four owners; 0.6% of the calls inside
    the rate were refused in the steady state.
    """
    loop = _Loop()
    gate = _gate(loop, lambda: 10.0)
    assert not gate.take("acme", until_s=10.0)
    assert len(loop.asking()) == 1


def test_any_part_with_a_token_serves() -> None:
    """Guards against a call that waits although a part has tokens."""
    for index in range(4):
        loop = _Loop()
        loop.grant(loop.names[index])
        gate = _gate(loop, lambda: 10.0)
        assert gate.take("acme", until_s=10.0)
        assert loop.asking() == [loop.names[index]]


def test_waiting_call_turns_to_the_next_owner() -> None:
    """Guards against a call that waits for a dead owner until the end."""
    loop = _Loop()
    clock = iter([10.0, 10.0, 10.0, 10.0, 10.0, 10.0 + 1.5 * TURN_S])
    last_s = 10.0

    def now_s() -> float:
        nonlocal last_s
        last_s = next(clock, last_s + 0.02)
        return last_s

    gate = _gate(loop, now_s)
    assert not gate.take("acme", until_s=10.0 + 1.8 * TURN_S)
    assert len(loop.asking()) == 2
