"""An instance that takes from budgets."""

from verbenaworks.budget_client import (
    SHORTAGE_INTERVAL_S,
    UNIT_GAP_MAX_S,
    BudgetClient,
)
from verbenaworks.budget_spec import (
    GRANT_TTL_S,
    ConcurrencyBudget,
    RateBudget,
    shard_of,
)
from verbenaworks.grant import (
    Grant,
    GrantReply,
    GrantRequest,
    WorkspaceAmount,
)
from verbenaworks.token_bucket import TokenBucket
from verbenaworks.wire import encode

_SHARD = 3
_NAMES = [f"r/{k}" for k in range(200) if shard_of(f"r/{k}") == _SHARD][:2]

_RATE = RateBudget(name="rate", rate_per_s=10, burst=50)
_SLOTS = ConcurrencyBudget(name="slots", capacity=10, linger_s=2.0)


class _Setup:
    """A taker with one budget, and replies to its newest request."""

    def __init__(self, budget: RateBudget | ConcurrencyBudget) -> None:
        self.budget = budget
        self.taker = BudgetClient(
            shard=shard_of(budget.name), instance="a", incarnation=4
        )
        self.taker.configure(0.0, [budget])

    def take(self, now_s: float, workspace: str = "acme", amount: int = 1):
        return self.taker.try_acquire(
            now_s, self.budget.name, workspace, amount
        )

    def request(self, now_s: float) -> GrantRequest:
        request = self.taker.next_request(now_s)
        assert request is not None
        return request

    def reply(self, seq: int, amount: int = 0, **fields) -> GrantReply:
        head = {"epoch": 1, "incarnation": 4}
        head |= {name: fields.pop(name) for name in head if name in fields}
        body = {"depth": 0, "tokens": 0, "ttl_s": 5} | fields
        grant = Grant(budget=self.budget.name, amount=amount, **body)
        return GrantReply(
            shard=shard_of(self.budget.name),
            seq=seq,
            entries=(grant,),
            **head,
        )

    def start(self, amount: int, **fields) -> None:
        """Ask at 0 s and accept a first grant."""
        assert self.take(0.0) is None
        first = self.request(0.0)
        self.taker.accept(0.0, self.reply(first.seq))
        second = self.request(0.0)
        assert second.epoch == 1
        assert self.taker.accept(0.0, self.reply(second.seq, amount, **fields))


def test_first_reply_only_tells_the_epoch() -> None:
    """Guards against grants for a report from before the owner's time."""
    setup = _Setup(_SLOTS)
    setup.take(0.0)
    request = setup.request(0.0)
    assert not setup.taker.accept(0.01, setup.reply(request.seq, 5))
    assert setup.taker.held(0.01, "slots") == (0, 0)


def test_reply_of_an_older_epoch_is_dropped() -> None:
    """Guards against grants of an owner that was replaced."""
    setup = _Setup(_SLOTS)
    setup.start(3)
    request = setup.request(1.0)
    setup.taker.owner_changed(2)
    assert not setup.taker.accept(1.01, setup.reply(request.seq, 9))
    assert setup.taker.held(1.01, "slots") == (3, 0)


def test_late_and_repeated_replies_are_dropped() -> None:
    """Guards against a grant that is counted twice or in the wrong order."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=9)
    first = setup.request(1.0)
    second = setup.request(1.3)
    assert second.seq > first.seq
    late = setup.reply(first.seq, 99_000, depth=50)
    assert not setup.taker.accept(1.31, late)
    reply = setup.reply(second.seq, 8_000, depth=9, tokens=2)
    assert setup.taker.accept(1.32, reply)
    assert not setup.taker.accept(1.33, reply)
    assert setup.taker.held(1.33, "rate") == (8_000, 9)


def test_reply_to_an_earlier_incarnation_is_dropped() -> None:
    """Guards against a restarted process that uses its old grants."""
    setup = _Setup(_SLOTS)
    setup.start(3)
    request = setup.request(1.0)
    other = setup.reply(request.seq, 9, incarnation=3)
    assert not setup.taker.accept(1.01, other)


def test_grant_ends_by_the_time_of_its_request() -> None:
    """Guards against a grant that a slow reply prolongs."""
    setup = _Setup(_SLOTS)
    setup.start(3)
    request = setup.request(1.0)
    assert setup.taker.accept(1.2, setup.reply(request.seq, 3, ttl_s=60))
    end_s = 1.0 + GRANT_TTL_S
    assert setup.taker.held(end_s - 0.1, "slots") == (3, 0)
    assert setup.taker.held(end_s + 0.1, "slots") == (0, 0)
    assert setup.take(end_s + 0.1) is None


def test_reply_after_the_end_of_its_grant_is_void() -> None:
    """Guards against a reply that was sent after a long pause."""
    setup = _Setup(_SLOTS)
    setup.take(0.0)
    setup.taker.accept(0.0, setup.reply(setup.request(0.0).seq))
    request = setup.request(0.0)
    setup.taker.accept(5.0, setup.reply(request.seq, 3))
    assert setup.taker.held(5.0, "slots") == (0, 0)


def test_tokens_end_with_their_grant() -> None:
    """Guards against spending what the owner has issued again."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=50, tokens=20)
    assert setup.take(4.9) is not None
    assert setup.take(5.0) is None
    assert setup.request(5.0).entries[0].kept == 0


def test_bucket_fills_below_its_rate() -> None:
    """Guards against a bucket whose clock runs up to 0.5% too fast."""
    bucket = TokenBucket()
    bucket.reshape(0.0, 1_000_000, 10_000)
    assert 994 <= bucket.tokens(1.0) <= 995
    assert bucket.reshape(1.0, 0, 10) >= 984
    assert bucket.tokens(9.0) == 10


def test_units_in_use_are_kept_while_they_linger() -> None:
    """Guards against units in use that are reported as free, or for ever."""
    setup = _Setup(_SLOTS)
    setup.start(2)
    hold = setup.take(4.0)
    assert hold is not None
    assert setup.taker.must_end_at_s(hold) == 7.0
    assert setup.take(6.9) is None
    want = setup.request(6.9).entries[0]
    assert (want.kept, want.in_use) == (1, 1)
    assert setup.request(7.2).entries[0].kept == 0
    assert not setup.taker.release(7.2, hold)


def test_unit_in_use_survives_a_smaller_grant() -> None:
    """Guards against a reduction that reports units in use as returned."""
    setup = _Setup(_SLOTS)
    setup.start(2)
    holds = [setup.take(0.5), setup.take(0.5)]
    request = setup.request(1.0)
    setup.taker.accept(1.0, setup.reply(request.seq, 1))
    assert setup.request(1.1).entries[0].kept == 2
    assert setup.taker.release(1.2, holds[0])
    assert setup.take(1.2) is None
    assert setup.request(2.3).entries[0].kept == 1


def test_request_is_sent_each_second_at_once_on_a_lack() -> None:
    """Guards against callers that wait for the next regular exchange."""
    setup = _Setup(_SLOTS)
    setup.start(1)
    assert setup.taker.next_request(0.9) is None
    setup.request(1.0)
    assert setup.taker.next_request(1.2) is None
    request = setup.request(1.25)
    setup.taker.accept(1.3, setup.reply(request.seq, 1))
    assert setup.take(1.3) is not None
    assert setup.take(1.35) is None
    wants = setup.request(1.4).entries[0].wants
    assert wants == (WorkspaceAmount(workspace="acme", amount=2),)


def test_idle_budget_is_returned_and_left_out() -> None:
    """Guards against traffic and grants for budgets that nobody uses."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=50, tokens=20)
    for now_s in (1.0, 2.0):
        request = setup.request(now_s)
        grant = setup.reply(request.seq, 10_000, depth=50)
        setup.taker.accept(now_s, grant)
    want = setup.request(3.0).entries[0]
    assert (want.kept, want.kept_depth) == (0, 0)
    assert want.tokens_returned == 49
    assert setup.taker.next_request(4.0) is None
    assert setup.taker.due_at_s() == float("inf")


def test_workspace_leaves_the_others_their_parts() -> None:
    """Guards against one workspace that uses all units of an instance."""
    setup = _Setup(_SLOTS)
    parts = (
        WorkspaceAmount(workspace="chain", amount=2),
        WorkspaceAmount(workspace="framer", amount=2),
    )
    setup.start(4, parts=parts)
    taken = [setup.take(0.1, "chain") for _ in range(4)]
    assert sum(hold is not None for hold in taken) == 2
    assert setup.take(0.1, "framer") is not None


def test_messages_are_small() -> None:
    """Guards against control traffic above 3 KB/s per instance."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=50)
    setup.take(0.9)
    request = setup.request(1.0)
    assert len(encode(request)) <= 64
    assert len(encode(setup.reply(request.seq, 10_000, depth=50))) <= 64


def test_depth_lent_with_tokens_is_given_up_at_the_next_request() -> None:
    """Guards against a bank that has a rate but no depth, and loses it.

    Depth that came with tokens returned two exchanges later, so that at
    times the owner had none for a taker that started to ask.
    """
    setup = _Setup(_RATE)
    setup.start(1000, depth=9, tokens=7)
    for _ in range(7):
        assert setup.take(0.1)
    request = setup.request(1.1)
    assert request.entries[0].kept_depth == 2
    assert setup.taker.held(1.1, _RATE.name) == (1000, 2)


def test_lent_depth_is_kept_for_tokens_that_were_not_spent() -> None:
    """Guards against tokens that are lost with their depth."""
    setup = _Setup(_RATE)
    setup.start(1000, depth=9, tokens=7)
    assert setup.take(0.1)
    request = setup.request(1.1)
    assert request.entries[0].kept_depth == 8
    assert request.entries[0].tokens_returned == 0


def test_waiting_calls_are_wanted_once_and_for_a_second() -> None:
    """Guards against retries that ask for the whole bank, and queues.

    A taker whose rate equals its demand never serves a queue that has
    built up, unless the queue counts as demand.
    """
    setup = _Setup(_RATE)
    setup.start(1000, depth=1)
    for _ in range(3):
        assert setup.take(0.1) is None
    for _ in range(50):
        assert not setup.taker.try_acquire(0.1, _RATE.name, "acme", retry=True)
    want = setup.request(0.2).entries[0]
    assert want.tokens_wanted == 4
    later = setup.request(0.2 + 0.9).entries[0]
    # Four calls, and a quarter more while they wait.
    assert want.wants[0].amount > 5000
    assert later.wants[0].amount < 4000


def _two_budgets(exchange_s: float = 1.0) -> BudgetClient:
    """Return a taker that has grants of two budgets since 0 s."""
    taker = BudgetClient(
        shard=_SHARD, instance="a", incarnation=4, exchange_s=exchange_s
    )
    budgets = [RateBudget(name=n, rate_per_s=10, burst=50) for n in _NAMES]
    taker.configure(0.0, budgets)
    for name in _NAMES:
        taker.try_acquire(0.0, name, "w")
    for entries in ((), _grants(_NAMES)):
        request = taker.next_request(0.0)
        assert request is not None
        taker.accept(0.0, _answer(request.seq, entries))
    return taker


def _grants(names: list[str]) -> tuple[Grant, ...]:
    return tuple(
        Grant(budget=name, amount=1000, depth=1, tokens=0, ttl_s=6)
        for name in names
    )


def _answer(seq: int, entries: tuple[Grant, ...]) -> GrantReply:
    return GrantReply(
        shard=_SHARD, epoch=1, incarnation=4, seq=seq, entries=entries
    )


def _stated(taker: BudgetClient, now_s: float) -> list[str]:
    request = taker.next_request(now_s)
    assert request is not None
    return [entry.budget for entry in request.entries]


def test_early_request_states_only_what_is_short() -> None:
    """Guards against bytes for all budgets of a shard at each lack."""
    taker = _two_budgets()
    assert taker.try_acquire(0.1, _NAMES[1], "w") is None
    request = taker.next_request(0.1)
    assert request is not None
    assert [entry.budget for entry in request.entries] == _NAMES[1:]
    taker.accept(0.12, _answer(request.seq, _grants(_NAMES[1:])))
    # The regular request is not put off.
    assert taker.due_at_s() == 1.0
    assert _stated(taker, 1.0) == _NAMES


def test_late_request_replaces_the_regular_one() -> None:
    """Guards against more messages than with full requests only."""
    taker = _two_budgets()
    assert taker.try_acquire(0.5, _NAMES[1], "w", amount=2) is None
    assert _stated(taker, 0.5) == _NAMES


def test_request_without_a_reply_is_followed_by_a_full_one() -> None:
    """Guards against grants that end because a reply was lost.

    The reply to the regular request does not count after an early one.
    """
    taker = _two_budgets(exchange_s=2.0)
    assert _stated(taker, 2.0) == _NAMES
    assert taker.try_acquire(2.0, _NAMES[1], "w", amount=9) is None
    assert taker.next_request(2.1) is None
    assert _stated(taker, 2.26) == _NAMES


def test_first_request_in_an_epoch_is_full() -> None:
    """Guards against grants that a new owner never learns of."""
    taker = _two_budgets()
    assert taker.try_acquire(0.1, _NAMES[1], "w") is None
    taker.owner_changed(2)
    assert _stated(taker, 0.1) == _NAMES


def test_unit_released_above_the_grant_is_returned_soon() -> None:
    """Guards against units that stay idle until the regular request.

    A unit in use cannot move when a grant becomes smaller, only when its
    use ends.
    """
    setup = _Setup(_SLOTS)
    setup.start(2)
    holds = [setup.take(0.1), setup.take(0.1)]
    request = setup.request(1.0)
    assert setup.taker.accept(1.01, setup.reply(request.seq, 1))
    again = setup.request(1.0 + SHORTAGE_INTERVAL_S)
    assert setup.taker.accept(1.06, setup.reply(again.seq, 1))
    assert setup.taker.due_at_s() > 1.5
    assert holds[0] is not None
    assert setup.taker.release(1.2, holds[0])
    assert setup.taker.due_at_s() <= 1.2
    assert setup.request(1.2).entries[0].kept == 1


def test_wanted_units_are_asked_for_again_soon() -> None:
    """Guards against units that wait at the owner for a taker in need."""
    setup = _Setup(_SLOTS)
    setup.start(1)
    setup.taker.set_demand(0.1, "slots", {"acme": 4})
    now_s = 1.0
    for _ in range(5):
        request = setup.request(now_s)
        assert setup.taker.accept(now_s, setup.reply(request.seq, 2))
        now_s += UNIT_GAP_MAX_S
    assert setup.taker.answered_demand("slots") == {"acme": 4}


def test_stated_wants_leave_the_order_to_the_queue() -> None:
    """Guards against units that are kept free for absent requests.

    The parts of one target are a unit or two; the admission queue orders
    requests by the parts of all targets.
    """
    setup = _Setup(_SLOTS)
    parts = (
        WorkspaceAmount(workspace="chain", amount=1),
        WorkspaceAmount(workspace="framer", amount=1),
    )
    setup.start(2, parts=parts)
    setup.taker.set_demand(0.1, "slots", {"chain": 2, "framer": 1})
    assert setup.take(0.1, "chain") is not None
    assert setup.take(0.1, "chain") is not None
