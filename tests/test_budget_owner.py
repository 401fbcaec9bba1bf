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
    """An owner, and clients that number their requests."""

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

    def send(
        self,
        now_s: float,
        client: str,
        *,
        epoch: int = _EPOCH,
        seq: int = 0,
        wants: dict[str, int] | int = 0,
        **fields: int,
    ) -> GrantReply | None:
        self.seq += 1
        if isinstance(wants, int):
            wants = {"acme": wants}
        entry = GrantRequestEntry(
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
                taker=client,
                incarnation=1,
                seq=seq or self.seq,
                entries=(entry,),
            ),
        )

    def request_grant(self, now_s: float, client: str, **fields) -> Grant:
        reply = self.send(now_s, client, **fields)
        assert reply is not None
        return reply.entries[0]


def _settled(budget: Budget) -> tuple[_Fleet, float]:
    """Return a fleet, and a time at which earlier grants have expired."""
    return _Fleet(budget), 10.0


def test_new_owner_starts_with_an_empty_bucket() -> None:
    """Guards against issuing tokens that clients of an earlier owner spent."""
    fleet = _Fleet(_RATE, PREVIOUS_OWNER_WAIT_S)
    now_s = PREVIOUS_OWNER_WAIT_S + with_drift_margin_s(GRANT_TTL_S) + 0.001
    grant = fleet.request_grant(now_s, "a", wants=10_000, tokens_wanted=50)
    assert (grant.amount, grant.tokens) == (10_000, 0)


def test_nothing_is_issued_before_the_earlier_owner_has_stopped() -> None:
    """Guards against two owners that issue grants at the same time."""
    fleet = _Fleet(_SLOTS, PREVIOUS_OWNER_WAIT_S)
    assert PREVIOUS_OWNER_WAIT_S > 2.0
    assert fleet.send(PREVIOUS_OWNER_WAIT_S - 0.001, "a", wants=1) is None
    assert fleet.send(PREVIOUS_OWNER_WAIT_S, "a", wants=1) is not None


def test_no_answer_without_a_valid_lease() -> None:
    """Guards against an owner that replies after a long pause."""
    fleet, now_s = _settled(_SLOTS)
    fleet.lease.valid = False
    assert fleet.send(now_s, "a", wants=1) is None
    fleet.lease.valid = True
    fleet.lease.epoch += 1
    assert fleet.send(now_s, "a", wants=1) is None


def test_unreported_grants_are_withheld_until_they_expire() -> None:
    """Guards against a new owner that grants what others still hold."""
    fleet = _Fleet(_SLOTS)
    until_s = with_drift_margin_s(GRANT_TTL_S + _SLOTS.linger_s)
    assert fleet.request_grant(0.1, "a", kept=4, wants=10).amount == 4
    assert fleet.request_grant(0.2, "b", wants=10).amount == 0
    assert fleet.request_grant(until_s - 0.01, "b", wants=10).amount == 0
    assert fleet.request_grant(until_s + 0.01, "b", wants=10).amount > 0


def test_report_from_an_earlier_epoch_is_not_adopted() -> None:
    """Guards against a delayed report of a grant that others hold now."""
    fleet = _Fleet(_SLOTS)
    reply = fleet.send(0.1, "a", epoch=_EPOCH - 1, kept=4, wants=10)
    assert reply is not None
    assert (reply.epoch, reply.entries) == (_EPOCH, ())
    assert fleet.request_grant(0.2, "a", kept=0, wants=10).amount == 0
    assert fleet.send(0.3, "a", epoch=_EPOCH + 1, kept=4) is None


def test_returned_tokens_count_once() -> None:
    """Guards against a repeated return, and a return that keeps its depth."""
    fleet, now_s = _settled(_RATE)
    first = fleet.request_grant(now_s, "a", wants=1000)
    fleet.request_grant(now_s, "a", kept=first.amount, kept_depth=first.depth)
    held = {"kept": first.amount, "kept_depth": first.depth}
    fleet.request_grant(now_s, "a", **held, tokens_returned=first.depth)
    assert (
        fleet.request_grant(now_s, "b", wants=1, tokens_wanted=9).tokens == 0
    )
    fleet.request_grant(now_s, "a", tokens_returned=first.depth)
    repeated = fleet.send(
        now_s, "a", seq=fleet.seq, tokens_returned=first.depth
    )
    assert repeated is None
    total = fleet.request_grant(now_s, "b", wants=1, tokens_wanted=50).tokens
    assert total <= first.depth


def test_tokens_in_transit_have_depth_of_their_own() -> None:
    """Guards against a bucket that fills up before the tokens arrive."""
    fleet, now_s = _settled(_RATE)
    fleet.request_grant(now_s, "z")
    now_s += 6.0
    grant = fleet.request_grant(now_s, "a", tokens_wanted=20)
    assert grant.tokens == 20
    grant = fleet.request_grant(
        now_s, "a", kept_depth=grant.depth, tokens_wanted=20
    )
    assert grant.tokens == 20
    now_s += 4.0
    rest = fleet.request_grant(now_s, "b", tokens_wanted=50)
    # a's bucket can fill up with 20 besides the 20 that are in transit.
    assert rest.depth <= 10


def test_grant_outlasts_the_clients_clock() -> None:
    """Guards against a grant that the owner reuses before the client stops."""
    fleet, now_s = _settled(_RATE)
    fleet.request_grant(now_s, "a", wants=10_000)
    # The validity by a client's clock, if the owner's clock is 0.5% faster.
    end_s = now_s + GRANT_TTL_S * 1.005
    assert fleet.request_grant(end_s, "b", wants=10_000).amount == 0
    assert (
        fleet.request_grant(end_s + 0.05, "b", wants=10_000).amount == 10_000
    )


def test_units_in_use_outlast_the_grant() -> None:
    """Guards against slots granted again while their requests still run."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.request_grant(now_s, "a", wants=10).amount == 10
    end_s = now_s + (GRANT_TTL_S + _SLOTS.linger_s) * 1.005
    assert fleet.request_grant(end_s, "b", wants=10).amount == 0
    assert fleet.request_grant(end_s + 0.07, "b", wants=10).amount == 10


def test_owner_without_a_valid_lease_gives_no_answer() -> None:
    """Guards against an owner that acts while its successor does."""
    fleet, now_s = _settled(_SLOTS)
    fleet.lease.valid = False
    assert fleet.send(now_s, "a", wants=1) is None
    fleet.lease.valid = True
    assert fleet.send(now_s, "a", wants=1) is not None


def test_delayed_report_of_an_expired_grant_counts_as_nothing() -> None:
    """Guards against a late request that claims what others hold now."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.request_grant(now_s, "a", wants=10).amount == 10
    now_s += with_drift_margin_s(GRANT_TTL_S + _SLOTS.linger_s) + 0.1
    assert fleet.request_grant(now_s, "b", wants=10).amount == 10
    # b's grant was reduced, but b has not confirmed it.
    assert fleet.request_grant(now_s, "b", kept=10, wants=1).amount < 10
    assert fleet.request_grant(now_s, "a", kept=10, wants=10).amount == 0


def test_lost_reply_does_not_free_what_the_client_kept() -> None:
    """Guards against reusing units after a reply that never arrived."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.request_grant(now_s, "a", wants=10).amount == 10
    fleet.request_grant(now_s, "b", wants=10)
    assert fleet.request_grant(now_s, "a", kept=10, wants=10).amount == 5
    assert fleet.request_grant(now_s, "b", wants=10).amount == 0
    fleet.request_grant(now_s, "a", kept=5, wants=10)
    assert fleet.request_grant(now_s, "b", wants=10).amount == 5


def test_raised_capacity_waits_for_unreported_grants() -> None:
    """Guards against an increase granted on top of unreported grants."""
    fleet = _Fleet(_SLOTS)
    raised = ConcurrencyBudget(name="slots", capacity=20, linger_s=2.0)
    fleet.owner.configure(0.1, [raised])
    assert fleet.request_grant(0.2, "a", wants=20).amount == 0
    end_s = with_drift_margin_s(GRANT_TTL_S + raised.linger_s) + 0.1
    assert fleet.request_grant(end_s, "a", wants=20).amount == 20


def test_lowered_capacity_bounds_the_sum_of_renewals() -> None:
    """Guards against clients that each renew all they held before."""
    fleet, now_s = _settled(_SLOTS)
    fleet.request_grant(now_s, "a", wants=5)
    fleet.request_grant(now_s, "b", wants=5)
    fleet.request_grant(now_s, "a", kept=5, wants=5)
    lowered = ConcurrencyBudget(name="slots", capacity=6, linger_s=2.0)
    fleet.owner.configure(now_s, [lowered])
    first = fleet.request_grant(now_s, "a", kept=5, wants=25).amount
    second = fleet.request_grant(now_s, "b", kept=5, wants=125).amount
    assert first + second <= 6


def test_removed_budget_is_no_longer_issued() -> None:
    """Guards against grants of a budget that an operator deleted."""
    fleet, now_s = _settled(_SLOTS)
    assert fleet.request_grant(now_s, "a", wants=10).amount == 10
    fleet.owner.configure(now_s, [])
    assert fleet.request_grant(now_s, "a", kept=10, wants=10).amount == 0
    fleet.owner.configure(now_s, [_SLOTS])
    assert fleet.request_grant(now_s, "b", wants=10).amount == 0


def test_workspace_at_one_instance_gets_its_share() -> None:
    """Guards against a large workspace that starves a small one."""
    fleet, now_s = _settled(_SLOTS)
    kept = dict.fromkeys("abcdefghijk", 0)
    grant = None
    for _ in range(3):
        for client in kept:
            wants = {"chain": 20}
            if client == "f":
                wants["framer"] = 4
            now_s += 0.05
            answer = fleet.request_grant(
                now_s, client, kept=kept[client], wants=wants
            )
            kept[client] = answer.amount
            grant = answer if client == "f" else grant
    assert sum(kept.values()) <= 10
    parts = {part.workspace: part.amount for part in grant.parts}
    assert parts["framer"] == 4
    assert grant.amount >= 4


def test_six_slots_reach_eleven_instances_in_turn() -> None:
    """Guards against instances that never get one of too few units."""
    slots = ConcurrencyBudget(name="slots", capacity=6)
    fleet, now_s = _settled(slots)
    kept = dict.fromkeys("abcdefghijk", 0)
    served = set()
    for _ in range(40):
        for client in kept:
            now_s += 1 / 11
            answer = fleet.request_grant(
                now_s, client, kept=kept[client], wants=1
            )
            kept[client] = answer.amount
            assert sum(kept.values()) <= 6
            served |= {client} if kept[client] else set()
    assert served == set(kept)


def test_new_owner_divides_only_what_it_does_not_withhold() -> None:
    """Guards against a reserve that one client keeps and another lacks.

    A new owner does not know the allocation of a dead instance. It divided
    that amount too, so no client gave up what the others waited for.
    """
    fleet = _Fleet(_RATE)
    now_s = 0.1
    held = {"a": 6000, "b": 2000}
    wants = {"a": 5000, "b": 3000}
    for turn in range(6):
        client = "ab"[turn % 2]
        grant = fleet.request_grant(
            now_s, client, kept=held[client], kept_depth=8, wants=wants[client]
        )
        held[client] = grant.amount
    assert held == wants
