"""Named faults of the budgets."""

from mutants import Mutation

_LIBRARY = "packages/verbenaworks/src/verbenaworks"


def _fault(
    *, name: str, module: str, old: str, new: str, test: str
) -> Mutation:
    return Mutation(
        name=name, path=f"{_LIBRARY}/{module}", old=old, new=new, test=test
    )


_HISTORIES = "tests/test_budget_histories.py"
_OWNER = "tests/test_budget_owner.py"
_CLIENT = "tests/test_budget_client.py"
_METER = "tests/test_demand_meter.py"

MUTATIONS = [
    _fault(
        name="new owner starts with a full bank",
        module="rate_pool.py",
        old="        self._unallocated_bucket = TokenBucket()\n",
        new="        self._unallocated_bucket = TokenBucket()\n"
        "        self._unallocated_bucket.resize(0.0, 0, budget.burst)\n"
        "        self._unallocated_bucket.add(budget.burst)\n",
        test=_OWNER,
    ),
    _fault(
        name="owner ignores the order of requests",
        module="budget_owner.py",
        old="if request.seq <= last_seq:",
        new="if last_seq < 0:",
        test=_HISTORIES,
    ),
    _fault(
        name="new owner skips the wait",
        module="budget_owner.py",
        old="self._issues_from_s = started_at_s + wait_s",
        new="self._issues_from_s = started_at_s",
        test=_OWNER,
    ),
    _fault(
        name="owner counts a rate shorter than the taker",
        module="rate_pool.py",
        old="_GRANT_LIFETIME_S = with_drift_margin_s(GRANT_TTL_S)",
        new="_GRANT_LIFETIME_S = GRANT_TTL_S - 1.0",
        test=_HISTORIES,
    ),
    _fault(
        name="owner forgets that units in use linger",
        module="concurrency_pool.py",
        old="return with_drift_margin_s(GRANT_TTL_S + self._linger_s)",
        new="return with_drift_margin_s(GRANT_TTL_S)",
        test=_HISTORIES,
    ),
    _fault(
        name="owner trusts the taker's clock rate",
        module="budget_spec.py",
        old="return duration_s * (1 + 2 * MAX_CLOCK_DRIFT)",
        new="return duration_s",
        test=_OWNER,
    ),
    _fault(
        name="taker accepts an older epoch",
        module="budget_client.py",
        old="if reply.epoch < self._highest_epoch:",
        new="if reply.epoch < 0:",
        test=_CLIENT,
    ),
    _fault(
        name="taker accepts a reply to an older request",
        module="budget_client.py",
        old="if reply.seq != self._seq or not self._is_waiting:",
        new="if False:",
        test=_HISTORIES,
    ),
    _fault(
        name="taker accepts a reply to an earlier incarnation",
        module="budget_client.py",
        old="if reply.incarnation != self._incarnation:",
        new="if False:",
        test=_CLIENT,
    ),
    _fault(
        name="taker counts the validity from the reply",
        module="budget_client.py",
        old="expires_at_s = self._sent_at_s + min(",
        new="expires_at_s = now_s + min(",
        test=_CLIENT,
    ),
    _fault(
        name="new owner does not withhold unreported grants",
        module="allocation_table.py",
        old="self._unreported = capacity",
        new="self._unreported = 0",
        test=_HISTORIES,
    ),
    _fault(
        name="new owner adopts reports from before its time",
        module="budget_owner.py",
        old="if request.epoch < self._epoch:",
        new="if request.epoch < 0:",
        test=_OWNER,
    ),
    _fault(
        name="owner believes a delayed report of a lapsed grant",
        module="allocation_table.py",
        old="kept = reported if now_s < self._unreported_until_s else 0",
        new="kept = reported",
        test=_OWNER,
    ),
    _fault(
        name="returned tokens come on top of a kept bucket",
        module="rate_pool.py",
        old="add(min(entry.tokens_returned, released))",
        new="add(entry.tokens_returned)",
        test=_OWNER,
    ),
    _fault(
        name="tokens on the way have no room of their own",
        module="rate_pool.py",
        old="depth = max(depth, kept_depth + tokens) if tokens else depth",
        new="depth = max(depth, tokens)",
        test=_OWNER,
    ),
    _fault(
        name="a lost reply frees what the taker still holds",
        module="allocation_table.py",
        old="amount = max(allocation.amount, expected)",
        new="amount = expected",
        test=_HISTORIES,
    ),
    _fault(
        name="raised capacity is issued beside unknown grants",
        module="allocation_table.py",
        old="return min(self._capacity, self._initial_capacity)",
        new="return self._capacity",
        test=_OWNER,
    ),
    _fault(
        name="what is held above a lowered capacity is renewed",
        module="allocation_table.py",
        old="return min(target, allocation.amount + max_growth, room)",
        new="return min(target, allocation.amount + max_growth)",
        test=_OWNER,
    ),
    _fault(
        name="owner acts without a valid lease",
        module="budget_owner.py",
        old="if not self._lease.is_valid(now_s):\n"
        "            return None\n"
        "        if self._lease.epoch",
        new="if self._lease.epoch",
        test=_OWNER,
    ),
    _fault(
        name="bucket fills at its own clock's full rate",
        module="token_bucket.py",
        old="_FILL_PER_MILLE = 1000 - MAX_CLOCK_DRIFT_PER_MILLE",
        new="_FILL_PER_MILLE = 1000",
        test=_CLIENT,
    ),
    _fault(
        name="bucket goes on after its grant expired",
        module="rate_allocation.py",
        old="if now_s >= self._expires_at_s:",
        new="if now_s >= self._expires_at_s + 2.0:",
        test=_HISTORIES,
    ),
    _fault(
        name="a gap in a small demand ends it",
        module="demand_meter.py",
        old="self._added_at_s >= _ZERO_DEMAND_AFTER_S:",
        new="self._added_at_s >= _ZERO_DEMAND_AFTER_S / 2:",
        test=_METER,
    ),
    _fault(
        name="new owner divides what it withholds",
        module="rate_pool.py",
        old="rate = self._rates.divisible(now_s)",
        new="rate = self._rates.limit(now_s)",
        test=_OWNER,
    ),
    _fault(
        name="depth that came with tokens is kept",
        module="rate_allocation.py",
        old="self._extra_depth = grant.tokens",
        new="self._extra_depth = 0",
        test=_CLIENT,
    ),
    _fault(
        name="depth is given up with the tokens in it",
        module="rate_allocation.py",
        old="depth = max(filled, bucket.depth - extra)",
        new="depth = bucket.depth - extra",
        test=_CLIENT,
    ),
    _fault(
        name="a waiting call asks for tokens at each retry",
        module="rate_allocation.py",
        old="            self._waiting.append((now_s, workspace, amount))",
        new="            pass\n"
        "        self._waiting.append((now_s, workspace, amount))",
        test=_CLIENT,
    ),
    _fault(
        name="waiting calls do not count as demand",
        module="rate_allocation.py",
        old="amount += min(1000 * waiting[workspace], amount // 4)",
        new="amount += 0",
        test=_CLIENT,
    ),
    _fault(
        name="a request after a lost reply leaves budgets out",
        module="budget_client.py",
        old="if early and not self._is_immediate and not self._is_waiting:",
        new="if early and not self._is_immediate:",
        test=_CLIENT,
    ),
    _fault(
        name="the first request in an epoch leaves budgets out",
        module="budget_client.py",
        old="if early and not self._is_immediate and not self._is_waiting:",
        new="if early and not self._is_waiting:",
        test=_CLIENT,
    ),
    _fault(
        name="early requests put the regular one off",
        module="budget_client.py",
        old="due_s = self._full_request_at_s + self._exchange_s",
        new="due_s = self._sent_at_s + self._exchange_s",
        test=_CLIENT,
    ),
    _fault(
        name="released units wait for the regular request",
        module="concurrency_allocation.py",
        old="return (\n"
        "            self._counted_by_owner > self._amount\n"
        "            and self._counted_by_owner > self._in_use\n"
        "        )",
        new="return False",
        test=_CLIENT,
    ),
    _fault(
        name="wanted units are not asked for again",
        module="concurrency_allocation.py",
        old="self._is_below_demand = demanded > grant.amount",
        new="self._is_below_demand = False",
        test=_CLIENT,
    ),
    _fault(
        name="units move with each change of the wants",
        module="demand_table.py",
        old="held[name] <= even_share,",
        new="totals[name],",
        test="tests/test_demand_table.py",
    ),
    _fault(
        name="all targets leave out the same workspaces",
        module="demand_table.py",
        old="self._rotation_offset = zlib.crc32(name.encode())",
        new="self._rotation_offset = 0",
        test="tests/test_demand_table.py",
    ),
    _fault(
        name="small demands wait for large ones",
        module="demand_table.py",
        old="totals[name] > 2 * (even_share + 1),",
        new="False,",
        test="tests/test_demand_table.py",
    ),
    Mutation(
        name="a call that finds others waiting is no demand",
        path="packages/verbenad/src/verbenad/rate_limiter.py",
        old="is_retry = is_counted",
        new="is_retry = True",
        test="tests/test_rate_limiter.py",
    ),
]
