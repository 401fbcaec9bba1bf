"""Histories of bodies on one link under random faults."""

import os
import random

import pytest

from budget_world import Process, World, names_in_shard, random_faults
from verbenaworks.budget_spec import RateBudget
from verbenaworks.grant import GrantRequest
from verbenaworks.link_meter import TOKEN_BYTES, LinkMeter, LinkPart
from verbenaworks.wire import encode

_SEEDS = int(os.environ.get("LINK_SEEDS", "80"))
_BATCH = 20


class _Source:
    """A process's budget client that records each token it spends."""

    def __init__(self, world: "_LinkWorld", process: Process) -> None:
        self._world = world
        self._client = process.client
        self.available = process.client.available
        self.note_demand = process.client.note_demand
        self.wait_s = process.client.wait_s
        self.tokens = 0

    def refund(self, now_s: float, budget: str, amount: int) -> None:
        before = self.available(now_s, budget)
        self._client.refund(now_s, budget, amount)
        # Tokens for which the bucket had no room are lost, not unspent.
        kept = self.available(now_s, budget) - before
        self._world._record_use(budget, -kept)
        self.tokens -= amount

    def try_acquire(
        self,
        now_s: float,
        budget: str,
        workspace: str,
        amount: int = 1,
        retry: bool = False,
    ) -> object | None:
        permit = self._client.try_acquire(
            now_s, budget, workspace, amount, retry
        )
        if permit is not None:
            self._world._record_use(budget, amount)
            self.tokens += amount
        return permit


class _LinkWorld(World):
    """Callers send bodies, and whole regions are partitioned."""

    def _call(self, process: Process) -> None:
        now_s = process.local_s(self.now_s)
        if not hasattr(self, "meters"):
            self.meters: dict[int, tuple[_Source, LinkMeter]] = {}
            self.waiting: dict[int, int] = {}
        if process.incarnation not in self.meters:
            source = _Source(self, process)
            parts = [LinkPart(source, b.name) for b in self.budgets]
            self.rng.shuffle(parts)
            self.meters[process.incarnation] = source, LinkMeter(parts)
        _, meter = self.meters[process.incarnation]
        if self.rng.random() < 0.2:
            meter.add_demand(now_s, 1)
        if process.is_busy and self.now_s >= self.quiet_until_s:
            self._send_body(process, meter, now_s)
        request: GrantRequest | None = process.client.next_request(now_s)
        owner = process.owner_process
        if (
            request is None
            or owner is None
            or self._is_partitioned(process, owner)
        ):
            return
        self.send(encode(request), lambda data: self._serve(owner, data))

    def _send_body(
        self, process: Process, meter: LinkMeter, now_s: float
    ) -> None:
        key = process.incarnation
        size = self.waiting.get(key)
        is_retry = size is not None
        if size is None:
            size = self.rng.choice((200, 3000, 20_000, 65_536))
            if self.rng.random() < 0.3 and meter.reserve(now_s, size):
                # Some attempts end before their body is sent.
                sent = self.rng.choice((0, size))
                meter.charge(now_s, sent, reserved_bytes=sent)
                meter.release(now_s, size - sent)
                return
        if meter.charge(now_s, size, is_retry=is_retry):
            self.waiting.pop(key, None)
        else:
            self.waiting[key] = size

    def _partition_one(self) -> None:
        until_s = self.now_s + self.rng.uniform(0, 12)
        region = self.rng.randrange(2)
        for process in self._alive():
            if int(process.name[1:]) % 2 == region:
                process.partitioned_until_s = until_s


def _world(seed: int) -> _LinkWorld:
    rng = random.Random(seed)
    first, second = names_in_shard("link/a/b", 2)
    return _LinkWorld(
        seed=seed,
        faults=random_faults(rng),
        budgets=[
            RateBudget(name=first, rate_per_s=40, burst=32),
            RateBudget(name=second, rate_per_s=5, burst=16),
        ],
        names=[f"i{k}" for k in range(rng.choice((3, 4, 6)))],
        attempts_per_s=25.0,
    )


@pytest.mark.parametrize("first", range(0, _SEEDS, _BATCH))
def test_no_link_carries_more_than_its_tokens(first: int) -> None:
    """Guards against bytes above rate and burst, summed over instances.

    Owners die, messages are lost, duplicated and delayed, clocks differ, and
    regions are partitioned.
    """
    tokens = 0
    for seed in range(first, first + _BATCH):
        world = _world(seed)
        world.run(30.0)
        assert world.excess() == {}, f"SEED={seed}"
        for source, meter in world.meters.values():
            charged = meter.charged_bytes
            assert charged <= source.tokens * TOKEN_BYTES, f"SEED={seed}"
            tokens += source.tokens
    # A link that carries no bytes would pass the checks above.
    assert tokens > 100 * _BATCH
