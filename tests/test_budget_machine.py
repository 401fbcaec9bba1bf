"""Owner and clients compared with one global bucket and one counter."""

from dataclasses import dataclass
from fractions import Fraction

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import ConcurrencyBudget, RateBudget, shard_of
from verbenaworks.grant import GrantReply, GrantRequest
from verbenaworks.permit import Permit

_RATE = RateBudget(name="tokens/1", rate_per_s=8, burst=6)
_SLOTS = ConcurrencyBudget(name="slots/7", capacity=4, linger_s=1.0)
_SHARD = shard_of(_RATE.name)
_CLIENTS = st.integers(0, 2)


@dataclass
class _Lease:
    epoch: int
    valid_until_s: float = float("inf")

    def is_valid(self, now_s: float) -> bool:
        return now_s < self.valid_until_s


class BudgetMachine(RuleBasedStateMachine):
    """Calls, messages, restarts and owner changes in any order."""

    def __init__(self) -> None:
        super().__init__()
        assert shard_of(_SLOTS.name) == _SHARD
        self.now_s = 100.0
        self.owners: list[tuple[_Lease, BudgetOwner]] = []
        self.incarnations = 0
        self.clients = [self._make_client(index) for index in range(3)]
        self.requests: list[tuple[BudgetOwner, GrantRequest]] = []
        self.replies: list[GrantReply] = []
        # The reference model: one global bucket, and the units in use.
        self.tokens = Fraction(_RATE.burst)
        self.used: list[tuple[float, BudgetClient, Permit]] = []
        self._start_owner(wait_s=0.0)
        self.advance(8.0)

    def _make_client(self, index: int) -> BudgetClient:
        self.incarnations += 1
        client = BudgetClient(
            shard=_SHARD, instance=f"t{index}", incarnation=self.incarnations
        )
        client.configure(self.now_s, [_RATE, _SLOTS])
        return client

    def _start_owner(self, **wait: float) -> None:
        lease = _Lease(epoch=len(self.owners) + 1)
        owner = BudgetOwner(
            shard=_SHARD, lease=lease, started_at_s=self.now_s, **wait
        )
        owner.configure(self.now_s, [_RATE, _SLOTS])
        self.owners.append((lease, owner))

    @rule(duration_s=st.sampled_from((0.01, 0.3, 0.3, 1.0, 2.0, 4.9)))
    def advance(self, duration_s: float) -> None:
        """Let time pass for all instances."""
        self.now_s += duration_s
        filled = Fraction(duration_s) * Fraction(_RATE.rate_per_s)
        self.tokens = min(Fraction(_RATE.burst), self.tokens + filled)
        self.used = [use for use in self.used if use[0] > self.now_s]

    @invariant()
    def parts_stay_within_the_whole(self) -> None:
        """Check that all grants together stay within the limits."""
        for name, amount, depth in (
            (_RATE.name, _RATE.rate_milli_per_s, _RATE.burst),
            (_SLOTS.name, _SLOTS.capacity, 0),
        ):
            held = [client.held(self.now_s, name) for client in self.clients]
            assert sum(part for part, _ in held) <= amount
            assert sum(part for _, part in held) <= depth

    @rule(index=_CLIENTS, count=st.sampled_from((1, 3, 9)))
    def spend(self, index: int, count: int) -> None:
        """Spend tokens one by one."""
        client = self.clients[index]
        for _ in range(count):
            if client.try_acquire(self.now_s, _RATE.name, "w") is not None:
                self.tokens -= 1
        assert self.tokens >= 0

    @rule(index=_CLIENTS, count=st.sampled_from((1, 3, 9)))
    def spend_waiting(self, index: int, count: int) -> None:
        """Let calls that wait for tokens retry."""
        client = self.clients[index]
        for _ in range(count):
            permit = client.try_acquire(
                self.now_s, _RATE.name, "w", retry=True
            )
            if permit is not None:
                self.tokens -= 1
        assert self.tokens >= 0

    @rule(index=_CLIENTS)
    def exchange_early(self, index: int) -> None:
        """Request only tokens between two regular requests."""
        self.exchange(index)
        self.spend(index, 9)
        self.advance(0.06)
        self.send(index)
        if self.requests:
            self._answer(len(self.requests) - 1)

    @rule(index=_CLIENTS, count=st.sampled_from((1, 2, 4)))
    def use(self, index: int, count: int) -> None:
        """Use units one by one."""
        client = self.clients[index]
        for _ in range(count):
            permit = client.try_acquire(self.now_s, _SLOTS.name, "w")
            if permit is not None:
                end_s = self.now_s + _SLOTS.linger_s
                self.used.append((end_s, client, permit))
        assert sum(use[2].amount for use in self.used) <= _SLOTS.capacity

    @precondition(lambda self: self.used)
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        """End one use before its deadline."""
        position = data.draw(st.integers(0, len(self.used) - 1))
        _, client, permit = self.used.pop(position)
        client.release(self.now_s, permit)

    @rule(index=_CLIENTS)
    def exchange(self, index: int) -> None:
        """Exchange messages without a fault while there is demand."""
        for _ in range(3):
            self.use(index, 4)
            self.spend(index, 9)
            self.advance(0.06)
            self.send(index)
            if self.requests:
                self._answer(len(self.requests) - 1)
            if self.replies:
                self._accept(len(self.replies) - 1)

    @rule(index=_CLIENTS)
    def send(self, index: int) -> None:
        """Let a client send the request that is due."""
        request = self.clients[index].next_request(self.now_s)
        if request is not None:
            self.requests.append((self.owners[-1][1], request))

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def answer_any(self, data: st.DataObject) -> None:
        """Deliver an old or a new request, perhaps repeatedly."""
        self._answer(data.draw(st.integers(0, len(self.requests) - 1)))

    @precondition(lambda self: self.replies)
    @rule(data=st.data())
    def accept_any(self, data: st.DataObject) -> None:
        """Deliver an old or a new reply to all clients."""
        self._accept(data.draw(st.integers(0, len(self.replies) - 1)))

    def _answer(self, position: int) -> None:
        owner, request = self.requests[position]
        reply = owner.handle(self.now_s, request)
        if reply is not None:
            self.replies.append(reply)

    def _accept(self, position: int) -> None:
        for client in self.clients:
            client.accept(self.now_s, self.replies[position])

    @rule(index=_CLIENTS)
    def restart(self, index: int) -> None:
        """Replace a process by one without grants."""
        self.clients[index] = self._make_client(index)

    @rule(overlap_s=st.sampled_from((0.0, 0.5, 2.0)))
    def change_owner(self, overlap_s: float) -> None:
        """Name a new owner; the previous one stays valid for up to 2 s."""
        lease = self.owners[-1][0]
        lease.valid_until_s = min(lease.valid_until_s, self.now_s + overlap_s)
        self._start_owner()


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.__doc__ = "Guards against any use above the global limits."
TestBudgetMachine.settings = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=60,
    database=None,
    deadline=None,
)
