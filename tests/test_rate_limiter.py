"""Demand of requests that wait for the next exchange of a budget."""

from types import SimpleNamespace

import eventlet

from verbenad.budget_plan import rate_parts
from verbenad.rate_limiter import RateLimiter
from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_spec import shard_of
from verbenaworks.compiled_config import WorkspaceConfig
from verbenaworks.control_record import SHARD_COUNT


class _Loop:
    """Budget clients of all shards; sends nothing."""

    def __init__(self) -> None:
        self.clients = [
            BudgetClient(shard=shard, instance="i", incarnation=1)
            for shard in range(SHARD_COUNT)
        ]

    def client_of(self, shard: int) -> BudgetClient:
        return self.clients[shard]

    def send_if_due(self, shard: int) -> None:
        pass


def test_call_that_finds_others_waiting_counts_as_demand() -> None:
    """Guards against queued calls that are not reported to the owner."""
    workspace = WorkspaceConfig(
        name="acme",
        rate_per_s=2.0,
        burst=4.0,
        allowed_services=frozenset(),
        policies={},
    )
    (part,) = rate_parts(workspace)
    loop = _Loop()
    client = loop.client_of(shard_of(part.name))
    client.configure(0.0, [part])
    clock = SimpleNamespace(now_s=10.0)
    limiter = RateLimiter(instance="i", loop=loop, now_s=lambda: clock.now_s)
    limiter.set_config(SimpleNamespace(workspaces={"acme": workspace}))
    calls = [eventlet.spawn(limiter.take, "acme", 10.5) for _ in range(3)]
    eventlet.sleep(0)
    request = client.next_request(10.0)
    clock.now_s = 11.0
    limiter.granted()
    assert [call.wait() for call in calls] == [False] * 3
    assert request is not None
    assert request.entries[0].tokens_wanted == 3
