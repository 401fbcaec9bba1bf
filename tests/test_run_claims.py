"""Queries of the run ledgers' generations."""

from collections.abc import Callable
from typing import Any

from verbenad.bus import Sender
from verbenad.directory import OwnerView
from verbenad.run_claims import (
    GENERATION_QUERY_INTERVAL_S,
    GENERATION_RETRY_INTERVAL_S,
    RunClaims,
)
from verbenaworks.run_messages import CurrentGeneration, QueryGeneration

_SHARDS = 4


class _Fleet:
    """A bus and directory whose owners reply if ``owners_reply`` is set."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.epoch = 1
        self.owners_reply = True
        self.queried_shards: list[int] = []
        self._handlers: dict[type, Callable[[Sender, Any], None]] = {}
        self.claims = RunClaims(
            bus=self,  # type: ignore[arg-type]
            directory=self,  # type: ignore[arg-type]
            now_s=lambda: self.now_s,
            shards=_SHARDS,
        )

    def subscribe(
        self, message_type: type, handler: Callable[[Sender, Any], None]
    ) -> None:
        self._handlers[message_type] = handler

    def owner(self, _shard: int) -> OwnerView:
        return OwnerView(bus_address="o", epoch=self.epoch, is_self=False)

    def send(self, _address: str, message: QueryGeneration) -> None:
        self.queried_shards.append(message.shard)
        if self.owners_reply:
            reply = CurrentGeneration(
                shard=message.shard, epoch=self.epoch, generation=0
            )
            sender = Sender(name="o", address="o")
            self._handlers[CurrentGeneration](sender, reply)

    def run(self, duration_s: float) -> int:
        """Return how many queries are sent during a period."""
        self.queried_shards.clear()
        for _ in range(round(duration_s / GENERATION_RETRY_INTERVAL_S)):
            self.claims.query_generations()
            self.now_s += GENERATION_RETRY_INTERVAL_S
        return len(self.queried_shards)


def test_known_generations_are_rarely_queried() -> None:
    """Guards against unnecessary control traffic of idle instances.

    Every instance queried the owners of all shards every 5 s, which was a
    third of its traffic, although a generation lasts 600 s.
    """
    fleet = _Fleet()
    assert fleet.run(GENERATION_RETRY_INTERVAL_S) == _SHARDS
    assert (
        fleet.run(GENERATION_QUERY_INTERVAL_S - GENERATION_RETRY_INTERVAL_S)
        == 0
    )
    assert fleet.run(GENERATION_RETRY_INTERVAL_S) == _SHARDS


def test_new_and_silent_owners_are_queried_soon() -> None:
    """Guards against lookups without tickets after a change of owner."""
    fleet = _Fleet()
    fleet.run(10.0)
    assert fleet.claims.ticket(0)
    fleet.epoch, fleet.owners_reply = 2, False
    assert fleet.claims.ticket(0) is None
    assert fleet.run(3 * GENERATION_RETRY_INTERVAL_S) == 3 * _SHARDS
    fleet.owners_reply = True
    assert fleet.run(GENERATION_RETRY_INTERVAL_S) == _SHARDS
    ticket = fleet.claims.ticket(0)
    assert ticket
    assert ticket.epoch == 2
