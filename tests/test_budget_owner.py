"""The owner of a shard's budgets."""

from dataclasses import dataclass

from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    PREVIOUS_OWNER_WAIT_S,
    Budget,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
    with_drift_margin_s,
)
from verbenaworks.grant import (
    Grant,
    GrantReply,
    GrantRequest,
    GrantRequestEntry,
    WorkspaceAmount,
)

_EPOCH = 7
_RATE = RateBudget(name="rate", rate_per_s=10, burst=50)
_SLOTS = ConcurrencyBudget(name="slots", capacity=10, linger_s=2.0)


@dataclass
class _Lease:
    epoch: int = _EPOCH
    valid: bool = True

    def is_valid(self, now_s: float) -> bool:
        return self.valid


class _Fleet:
    """An owner, and takers that number their requests."""

    def __init__(self, budget: Budget, wait_s: float = 0.0) -> None:
        self.lease = _Lease()
        self.budget = budget
        self.owner = BudgetOwner(
            shard=shard_of(budget.name),
            lease=self.lease,
            started_at_s=0.0,
            wait_s=wait_s,
        )
        self.owner.configure(0.0, [budget])
        self.seq = 0

    def reply(
        self,
        now_s: float,
        taker: str,
        *,
        epoch: int = _EPOCH,
        seq: int = 0,
        wants: dict[str, int] | int = 0,
        **fields: int,
    ) -> GrantReply | None:
        self.seq += 1
        if isinstance(wants, int):
            wants = {"acme": wants}
        want = GrantRequestEntry(
            budget=self.budget.name,
            wants=tuple(
                WorkspaceAmount(workspace=name, amount=amount)
                for name, amount in wants.items()
            ),
            **({"kept": 0} | fields),
        )
        return self.owner.handle(
            now_s,
            GrantRequest(
                shard=shard_of(self.budget.name),
                epoch=epoch,
                taker=taker,
                incarnation=1,
                seq=seq or self.seq,
                entries=(want,),
            ),
        )

    def ask(self, now_s: float, taker: str, **fields) -> Grant:
        reply = self.reply(now_s, taker, **fields)
        assert reply is not None
        return reply.entries[0]


def _settled(budget: Budget) -> tuple[_Fleet, float]:
    """Return a fleet in which no grants of earlier owners remain."""
    return _Fleet(budget), 10.0


def test_new_owner_starts_with_an_empty_bank() -> None:
    """Guards against tokens issued that an earlier owner's takers spent."""
    fleet = _Fleet(_RATE, PREVIOUS_OWNER_WAIT_S)
    now_s = PREVIOUS_OWNER_WAIT_S + with_drift_margin_s(GRANT_TTL_S) + 0.001
    grant = fleet.ask(now_s, "a", wants=10_000, tokens_wanted=50)
    assert (grant.amount, grant.tokens) == (10_000, 0)


def test_nothing_is_issued_before_the_earlier_owner_has_stopped() -> None:
    """Guards against two owners that issue at the same time."""
    fleet = _Fleet(_SLOTS, PREVIOUS_OWNER_WAIT_S)
    assert PREVIOUS_OWNER_WAIT_S > 2.0
    assert fleet.reply(PREVIOUS_OWNER_WAIT_S - 0.001, "a", wants=1) is None
    assert fleet.reply(PREVIOUS_OWNER_WAIT_S, "a", wants=1) is not None


def test_no_answer_without_a_valid_lease() -> None:
    """Guards against an owner that wakes from a pause and answers."""
    fleet, now_s = _settled(_SLOTS)
    fleet.lease.valid = False
    assert fleet.reply(now_s, "a", wants=1) is None
    fleet.lease.valid = True
    fleet.lease.epoch += 1
    assert fleet.reply(now_s, "a", wants=1) is None


def test_unreported_grants_are_withheld_until_they_lapsed() -> None:
    """Guards against a new owner that issues what others still hold."""
    fleet = _Fleet(_SLOTS)
    until_s = with_drift_margin_s(GRANT_TTL_S + _SLOTS.linger_s)
    assert fleet.ask(0.1, "a", kept=4, wants=10).amount == 4
    assert fleet.ask(0.2, "b", wants=10).amount == 0
    assert fleet.ask(until_s - 0.01, "b", wants=10).amount == 0
    assert fleet.ask(until_s + 0.01, "b", wants=10).amount > 0


def test_report_from_before_the_owners_time_is_not_adopted() -> None:
    """Guards against a delayed report of a grant that was handed on."""
    fleet = _Fleet(_SLOTS)
    reply = fleet.reply(0.1, "a", epoch=_EPOCH - 1, kept=4, wants=10)
    assert reply is not None
    assert (reply.epoch, reply.entries) == (_EPOCH, ())
    assert fleet.ask(0.2, "a", kept=0, wants=10).amount == 0
    assert fleet.reply(0.3, "a", epoch=_EPOCH + 1, kept=4) is None


def test_returned_tokens_count_once() -> None:
    """Guards against a repeated return, or one that keeps its depth."""
    fleet, now_s = _settled(_RATE)
    first = fleet.ask(now_s, "a", wants=1000)
    fleet.ask(now_s, "a", kept=first.amount, kept_depth=first.depth)
    held = {"kept": first.amount, "kept_depth": first.depth}
    fleet.ask(now_s, "a", **held, tokens_returned=first.depth)
    assert fleet.ask(now_s, "b", wants=1, tokens_wanted=9).tokens == 0
    fleet.ask(now_s, "a", tokens_returned=first.depth)
    repeated = fleet.reply(
        now_s, "a", seq=fleet.seq, tokens_returned=first.depth
    )
    assert repeated is None
    total = fleet.ask(now_s, "b", wants=1, tokens_wanted=50).tokens
    assert total <= first.depth


def test_tokens_on_the_way_have_room_of_their_own() -> None:
    """Guards against a bucket that fills up again before they arrive."""
    fleet, now_s = _settled(_RATE)
    fleet.ask(now_s, "z")
    now_s += 6.0
    grant = fleet.ask(now_s, "a", tokens_wanted=20)
    assert grant.tokens == 20
    grant = fleet.ask(now_s, "a", kept_depth=grant.depth, tokens_wanted=20)
    assert grant.tokens == 20
    now_s += 4.0
    rest = fleet.ask(now_s, "b", tokens_wanted=50)
    # a's bucket can hold 20 again besides the 20 that are on the way.
    assert rest.depth <= 10


def test_grant_outlasts_the_takers_clock() -> None:
    """Guards against a grant that lapses before a slow taker stops."""
    fleet, now_s = _settled(_RATE)
    fleet.ask(now_s, "a", wants=10_000)
    # The taker's 5 s, read from an owner's clock that is 0.5% faster.
    end_s = now_s + GRANT_TTL_S * 1.005
    assert fleet.ask(end_s, "b", wants=10_000).amount == 0
    assert fleet.ask(end_s + 0.05, "b", wants=10_000).amount == 10_000


def test_units_in_use_outlast_the_grant() -> None:
    """Guards against slots issued while their requests still run."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.ask(now_s, "a", wants=10).amount == 10
    end_s = now_s + (GRANT_TTL_S + _SLOTS.linger_s) * 1.005
    assert fleet.ask(end_s, "b", wants=10).amount == 0
    assert fleet.ask(end_s + 0.07, "b", wants=10).amount == 10


def test_owner_without_a_valid_lease_gives_no_answer() -> None:
    """Guards against an owner that acts beside its successor."""
    fleet, now_s = _settled(_SLOTS)
    fleet.lease.valid = False
    assert fleet.reply(now_s, "a", wants=1) is None
    fleet.lease.valid = True
    assert fleet.reply(now_s, "a", wants=1) is not None


def test_delayed_report_of_a_lapsed_grant_counts_as_nothing() -> None:
    """Guards against a late request that claims what was handed on."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.ask(now_s, "a", wants=10).amount == 10
    now_s += with_drift_margin_s(GRANT_TTL_S + _SLOTS.linger_s) + 0.1
    assert fleet.ask(now_s, "b", wants=10).amount == 10
    # b is to shrink but has not confirmed it.
    assert fleet.ask(now_s, "b", kept=10, wants=1).amount < 10
    assert fleet.ask(now_s, "a", kept=10, wants=10).amount == 0


def test_lost_reply_does_not_free_what_the_taker_kept() -> None:
    """Guards against units freed by a reply that never arrived."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.ask(now_s, "a", wants=10).amount == 10
    fleet.ask(now_s, "b", wants=10)
    assert fleet.ask(now_s, "a", kept=10, wants=10).amount == 5
    assert fleet.ask(now_s, "b", wants=10).amount == 0
    fleet.ask(now_s, "a", kept=5, wants=10)
    assert fleet.ask(now_s, "b", wants=10).amount == 5


def test_raised_capacity_waits_for_unknown_grants() -> None:
    """Guards against an increase issued beside an earlier owner's grants."""
    fleet = _Fleet(_SLOTS)
    raised = ConcurrencyBudget(name="slots", capacity=20, linger_s=2.0)
    fleet.owner.configure(0.1, [raised])
    assert fleet.ask(0.2, "a", wants=20).amount == 0
    end_s = with_drift_margin_s(GRANT_TTL_S + raised.linger_s) + 0.1
    assert fleet.ask(end_s, "a", wants=20).amount == 20


def test_lowered_capacity_bounds_the_sum_of_renewals() -> None:
    """Guards against takers that in turn renew all they held before."""
    fleet, now_s = _settled(_SLOTS)
    fleet.ask(now_s, "a", wants=5)
    fleet.ask(now_s, "b", wants=5)
    fleet.ask(now_s, "a", kept=5, wants=5)
    lowered = ConcurrencyBudget(name="slots", capacity=6, linger_s=2.0)
    fleet.owner.configure(now_s, [lowered])
    first = fleet.ask(now_s, "a", kept=5, wants=25).amount
    second = fleet.ask(now_s, "b", kept=5, wants=125).amount
    assert first + second <= 6


def test_removed_budget_is_no_longer_issued() -> None:
    """Guards against grants of a budget that an operator deleted."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.ask(now_s, "a", wants=10).amount == 10
    fleet.owner.configure(now_s, [])
    assert fleet.ask(now_s, "a", kept=10, wants=10).amount == 0
    fleet.owner.configure(now_s, [_SLOTS])
    assert fleet.ask(now_s, "b", wants=10).amount == 0


def test_workspace_at_one_instance_gets_its_part() -> None:
    """Guards against a large workspace that starves a small one."""
    fleet, now_s = _settled(_SLOTS)
    kept = dict.fromkeys("abcdefghijk", 0)
    grant = None
    for _ in range(3):
        for taker in kept:
            wants = {"chain": 20}
            if taker == "f":
                wants["framer"] = 4
            now_s += 0.05
            answer = fleet.ask(now_s, taker, kept=kept[taker], wants=wants)
            kept[taker] = answer.amount
            grant = answer if taker == "f" else grant
    assert sum(kept.values()) <= 10
    parts = {part.workspace: part.amount for part in grant.parts}
    assert parts["framer"] == 4
    assert grant.amount >= 4


def test_six_slots_reach_eleven_instances_in_turn() -> None:
    """Guards against instances that never get an indivisible unit."""
    slots = ConcurrencyBudget(name="slots", capacity=6)
    fleet, now_s = _settled(slots)
    kept = dict.fromkeys("abcdefghijk", 0)
    served = set()
    for _ in range(40):
        for taker in kept:
            now_s += 1 / 11
            answer = fleet.ask(now_s, taker, kept=kept[taker], wants=1)
            kept[taker] = answer.amount
            assert sum(kept.values()) <= 6
            served |= {taker} if kept[taker] else set()
    assert served == set(kept)


def test_new_owner_divides_only_what_it_does_not_withhold() -> None:
    """Guards against a reserve that one taker keeps and another lacks.

    The part of a dead instance is unknown to its successor. While it was
    divided all the same, nobody gave up what others waited for.
    """
    fleet = _Fleet(_RATE)
    now_s = 0.1
    held = {"a": 6000, "b": 2000}
    wants = {"a": 5000, "b": 3000}
    for turn in range(6):
        taker = "ab"[turn % 2]
        grant = fleet.ask(
            now_s, taker, kept=held[taker], kept_depth=8, wants=wants[taker]
        )
        held[taker] = grant.amount
    assert held == wants
