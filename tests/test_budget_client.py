"""An instance that uses budgets."""

from verbenaworks.budget_client import (
    MAX_UNIT_SHORTAGE_INTERVAL_S,
    SHORTAGE_INTERVAL_S,
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
    """A client with one budget, and replies to its newest request."""

    def __init__(self, budget: RateBudget | ConcurrencyBudget) -> None:
        self.budget = budget
        self.client = BudgetClient(
            shard=shard_of(budget.name), instance="a", incarnation=4
        )
        self.client.configure(0.0, [budget])

    def acquire(self, now_s: float, workspace: str = "acme", amount: int = 1):
        return self.client.try_acquire(
            now_s, self.budget.name, workspace, amount
        )

    def request(self, now_s: float) -> GrantRequest:
        request = self.client.next_request(now_s)
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
        """Send a request at 0 s and accept a first grant."""
        assert self.acquire(0.0) is None
        first = self.request(0.0)
        self.client.accept(0.0, self.reply(first.seq))
        second = self.request(0.0)
        assert second.epoch == 1
        assert self.client.accept(
            0.0, self.reply(second.seq, amount, **fields)
        )


def test_first_reply_only_tells_the_epoch() -> None:
    """Guards against grants for a report made in an earlier epoch."""
    setup = _Setup(_SLOTS)
    setup.acquire(0.0)
    request = setup.request(0.0)
    assert not setup.client.accept(0.01, setup.reply(request.seq, 5))
    assert setup.client.held(0.01, "slots") == (0, 0)


def test_reply_of_an_older_epoch_is_dropped() -> None:
    """Guards against grants of an owner that was replaced."""
    setup = _Setup(_SLOTS)
    setup.start(3)
    request = setup.request(1.0)
    setup.client.owner_changed(2)
    assert not setup.client.accept(1.01, setup.reply(request.seq, 9))
    assert setup.client.held(1.01, "slots") == (3, 0)


def test_late_and_repeated_replies_are_dropped() -> None:
    """Guards against grants that are applied twice or in the wrong order."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=9)
    first = setup.request(1.0)
    second = setup.request(1.3)
    assert second.seq > first.seq
    late = setup.reply(first.seq, 99_000, depth=50)
    assert not setup.client.accept(1.31, late)
    reply = setup.reply(second.seq, 8_000, depth=9, tokens=2)
    assert setup.client.accept(1.32, reply)
    assert not setup.client.accept(1.33, reply)
    assert setup.client.held(1.33, "rate") == (8_000, 9)


def test_reply_to_an_earlier_incarnation_is_dropped() -> None:
    """Guards against a restarted process that uses its old grants."""
    setup = _Setup(_SLOTS)
    setup.start(3)
    request = setup.request(1.0)
    other = setup.reply(request.seq, 9, incarnation=3)
    assert not setup.client.accept(1.01, other)


def test_grant_ends_by_the_time_of_its_request() -> None:
    """Guards against a slow reply that prolongs its grant."""
    setup = _Setup(_SLOTS)
    setup.start(3)
    request = setup.request(1.0)
    assert setup.client.accept(1.2, setup.reply(request.seq, 3, ttl_s=60))
    end_s = 1.0 + GRANT_TTL_S
    assert setup.client.held(end_s - 0.1, "slots") == (3, 0)
    assert setup.client.held(end_s + 0.1, "slots") == (0, 0)
    assert setup.acquire(end_s + 0.1) is None


def test_reply_after_the_expiry_of_its_grant_is_void() -> None:
    """Guards against a reply that was sent after a long pause."""
    setup = _Setup(_SLOTS)
    setup.acquire(0.0)
    setup.client.accept(0.0, setup.reply(setup.request(0.0).seq))
    request = setup.request(0.0)
    setup.client.accept(5.0, setup.reply(request.seq, 3))
    assert setup.client.held(5.0, "slots") == (0, 0)


def test_tokens_expire_with_their_grant() -> None:
    """Guards against spending tokens that the owner has granted to others."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=50, tokens=20)
    assert setup.acquire(4.9) is not None
    assert setup.acquire(5.0) is None
    assert setup.request(5.0).entries[0].kept == 0


def test_bucket_fills_below_its_rate() -> None:
    """Guards against a bucket whose clock runs up to 0.5% too fast."""
    bucket = TokenBucket()
    bucket.resize(0.0, 1_000_000, 10_000)
    assert 994 <= bucket.tokens(1.0) <= 995
    assert bucket.resize(1.0, 0, 10) >= 984
    assert bucket.tokens(9.0) == 10


def test_units_in_use_are_kept_while_they_linger() -> None:
    """Guards against units in use that count as free, or as used forever."""
    setup = _Setup(_SLOTS)
    setup.start(2)
    permit = setup.acquire(4.0)
    assert permit is not None
    assert setup.client.use_deadline_s(permit) == 7.0
    assert setup.acquire(6.9) is None
    entry = setup.request(6.9).entries[0]
    assert (entry.kept, entry.in_use) == (1, 1)
    assert setup.request(7.2).entries[0].kept == 0
    assert not setup.client.release(7.2, permit)


def test_unit_in_use_survives_a_smaller_grant() -> None:
    """Guards against a smaller grant that makes units in use count as free."""
    setup = _Setup(_SLOTS)
    setup.start(2)
    permits = [setup.acquire(0.5), setup.acquire(0.5)]
    request = setup.request(1.0)
    setup.client.accept(1.0, setup.reply(request.seq, 1))
    assert setup.request(1.1).entries[0].kept == 2
    assert setup.client.release(1.2, permits[0])
    assert setup.acquire(1.2) is None
    assert setup.request(2.3).entries[0].kept == 1


def test_request_is_sent_each_second_and_at_once_on_a_shortage() -> None:
    """Guards against callers that wait for the next regular request."""
    setup = _Setup(_SLOTS)
    setup.start(1)
    assert setup.client.next_request(0.9) is None
    setup.request(1.0)
    assert setup.client.next_request(1.2) is None
    request = setup.request(1.25)
    setup.client.accept(1.3, setup.reply(request.seq, 1))
    assert setup.acquire(1.3) is not None
    assert setup.acquire(1.35) is None
    wants = setup.request(1.4).entries[0].wants
    assert wants == (WorkspaceAmount(workspace="acme", amount=2),)


def test_idle_budget_is_returned_and_not_reported() -> None:
    """Guards against traffic and grants for budgets that nobody uses."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=50, tokens=20)
    for now_s in (1.0, 2.0):
        request = setup.request(now_s)
        grant = setup.reply(request.seq, 10_000, depth=50)
        setup.client.accept(now_s, grant)
    entry = setup.request(3.0).entries[0]
    assert (entry.kept, entry.kept_depth) == (0, 0)
    assert entry.tokens_returned == 49
    assert setup.client.next_request(4.0) is None
    assert setup.client.due_at_s() == float("inf")


def test_workspace_leaves_the_others_their_shares() -> None:
    """Guards against one workspace that uses all units of an instance."""
    setup = _Setup(_SLOTS)
    parts = (
        WorkspaceAmount(workspace="chain", amount=2),
        WorkspaceAmount(workspace="framer", amount=2),
    )
    setup.start(4, parts=parts)
    taken = [setup.acquire(0.1, "chain") for _ in range(4)]
    assert sum(permit is not None for permit in taken) == 2
    assert setup.acquire(0.1, "framer") is not None


def test_messages_are_small() -> None:
    """Guards against control traffic above 3 KB/s per instance."""
    setup = _Setup(_RATE)
    setup.start(10_000, depth=50)
    setup.acquire(0.9)
    request = setup.request(1.0)
    assert len(encode(request)) <= 64
    assert len(encode(setup.reply(request.seq, 10_000, depth=50))) <= 64


def test_depth_granted_for_tokens_is_returned_in_the_next_request() -> None:
    """Guards against an owner that has a free rate but no depth for it.

    Depth granted for tokens came back two requests later, so that at times
    the owner had none for a client that started to send demand.
    """
    setup = _Setup(_RATE)
    setup.start(1000, depth=9, tokens=7)
    for _ in range(7):
        assert setup.acquire(0.1)
    request = setup.request(1.1)
    assert request.entries[0].kept_depth == 2
    assert setup.client.held(1.1, _RATE.name) == (1000, 2)


def test_extra_depth_is_kept_for_tokens_that_were_not_spent() -> None:
    """Guards against tokens that are lost with their depth."""
    setup = _Setup(_RATE)
    setup.start(1000, depth=9, tokens=7)
    assert setup.acquire(0.1)
    request = setup.request(1.1)
    assert request.entries[0].kept_depth == 8
    assert request.entries[0].tokens_returned == 0


def test_waiting_calls_count_once_and_for_a_second() -> None:
    """Guards against retries that request all tokens, and lasting queues.

    A client whose rate equals its demand never drains a queue that has
    built up, unless the queue counts as demand.
    """
    setup = _Setup(_RATE)
    setup.start(1000, depth=1)
    for _ in range(3):
        assert setup.acquire(0.1) is None
    for _ in range(50):
        assert not setup.client.try_acquire(
            0.1, _RATE.name, "acme", retry=True
        )
    entry = setup.request(0.2).entries[0]
    assert entry.tokens_wanted == 4
    later = setup.request(0.2 + 0.9).entries[0]
    # Four calls, and a quarter more while they wait.
    assert entry.wants[0].amount > 5000
    assert later.wants[0].amount < 4000


def _two_budgets(exchange_s: float = 1.0) -> BudgetClient:
    """Return a client that has grants of two budgets since 0 s."""
    client = BudgetClient(
        shard=_SHARD, instance="a", incarnation=4, exchange_s=exchange_s
    )
    budgets = [RateBudget(name=n, rate_per_s=10, burst=50) for n in _NAMES]
    client.configure(0.0, budgets)
    for name in _NAMES:
        client.try_acquire(0.0, name, "w")
    for entries in ((), _grants(_NAMES)):
        request = client.next_request(0.0)
        assert request is not None
        client.accept(0.0, _answer(request.seq, entries))
    return client


def _grants(names: list[str]) -> tuple[Grant, ...]:
    return tuple(
        Grant(budget=name, amount=1000, depth=1, tokens=0, ttl_s=6)
        for name in names
    )


def _answer(seq: int, entries: tuple[Grant, ...]) -> GrantReply:
    return GrantReply(
        shard=_SHARD, epoch=1, incarnation=4, seq=seq, entries=entries
    )


def _reported_budgets(client: BudgetClient, now_s: float) -> list[str]:
    request = client.next_request(now_s)
    assert request is not None
    return [entry.budget for entry in request.entries]


def test_early_request_reports_only_budgets_that_are_short() -> None:
    """Guards against reporting all budgets of a shard at each shortage."""
    client = _two_budgets()
    assert client.try_acquire(0.1, _NAMES[1], "w") is None
    request = client.next_request(0.1)
    assert request is not None
    assert [entry.budget for entry in request.entries] == _NAMES[1:]
    client.accept(0.12, _answer(request.seq, _grants(_NAMES[1:])))
    # The regular request is not delayed.
    assert client.due_at_s() == 1.0
    assert _reported_budgets(client, 1.0) == _NAMES


def test_late_request_replaces_the_regular_one() -> None:
    """Guards against more messages than with full requests only."""
    client = _two_budgets()
    assert client.try_acquire(0.5, _NAMES[1], "w", amount=2) is None
    assert _reported_budgets(client, 0.5) == _NAMES


def test_request_without_a_reply_is_followed_by_a_full_one() -> None:
    """Guards against grants that expire because a reply was lost.

    The reply to a regular request is ignored once an early one was sent.
    """
    client = _two_budgets(exchange_s=2.0)
    assert _reported_budgets(client, 2.0) == _NAMES
    assert client.try_acquire(2.0, _NAMES[1], "w", amount=9) is None
    assert client.next_request(2.1) is None
    assert _reported_budgets(client, 2.26) == _NAMES


def test_first_request_in_an_epoch_is_full() -> None:
    """Guards against grants that are never reported to a new owner."""
    client = _two_budgets()
    assert client.try_acquire(0.1, _NAMES[1], "w") is None
    client.owner_changed(2)
    assert _reported_budgets(client, 0.1) == _NAMES


def test_unit_released_above_the_grant_is_returned_soon() -> None:
    """Guards against units that stay idle until the regular request.

    A unit in use cannot move when a grant becomes smaller, only when its
    use ends.
    """
    setup = _Setup(_SLOTS)
    setup.start(2)
    permits = [setup.acquire(0.1), setup.acquire(0.1)]
    request = setup.request(1.0)
    assert setup.client.accept(1.01, setup.reply(request.seq, 1))
    again = setup.request(1.0 + SHORTAGE_INTERVAL_S)
    assert setup.client.accept(1.06, setup.reply(again.seq, 1))
    assert setup.client.due_at_s() > 1.5
    assert permits[0] is not None
    assert setup.client.release(1.2, permits[0])
    assert setup.client.due_at_s() <= 1.2
    assert setup.request(1.2).entries[0].kept == 1


def test_unmet_demand_is_requested_again_soon() -> None:
    """Guards against units that stay idle at the owner despite demand."""
    setup = _Setup(_SLOTS)
    setup.start(1)
    setup.client.set_demand(0.1, "slots", {"acme": 4})
    now_s = 1.0
    for _ in range(5):
        request = setup.request(now_s)
        assert setup.client.accept(now_s, setup.reply(request.seq, 2))
        now_s += MAX_UNIT_SHORTAGE_INTERVAL_S
    assert setup.client.answered_demand("slots") == {"acme": 4}


def test_stated_demand_leaves_the_order_to_the_queue() -> None:
    """Guards against units that are reserved for absent requests.

    The shares of one target are a unit or two; the admission queue orders
    requests by the shares of all targets.
    """
    setup = _Setup(_SLOTS)
    parts = (
        WorkspaceAmount(workspace="chain", amount=1),
        WorkspaceAmount(workspace="framer", amount=1),
    )
    setup.start(2, parts=parts)
    setup.client.set_demand(0.1, "slots", {"chain": 2, "framer": 1})
    assert setup.acquire(0.1, "chain") is not None
    assert setup.acquire(0.1, "chain") is not None
