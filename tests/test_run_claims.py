"""Claims at the owners of run ledgers, and queries of their generations."""

import time
from collections.abc import Callable
from typing import Any

import eventlet

from verbenad.bus import Sender
from verbenad.directory import OwnerView
from verbenad.run_claims import (
    GENERATION_QUERY_INTERVAL_S,
    GENERATION_RETRY_INTERVAL_S,
    RunClaims,
)
from verbenaworks.run_messages import (
    AlreadyAnswered,
    ClaimRun,
    CurrentGeneration,
    QueryGeneration,
    ReportAnswered,
    RunNow,
    StillRunning,
    StoredAnswer,
)

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


class _Owner:
    """A bus that delivers to the claims of the shard's owner at once."""

    def __init__(self) -> None:
        self._handlers: dict[type, Callable[[Sender, Any], None]] = {}
        self.claims = RunClaims(
            bus=self,  # type: ignore[arg-type]
            directory=self,  # type: ignore[arg-type]
            now_s=time.monotonic,
            shards=1,
        )
        self.claims.set_owned_shards({0: 1})

    def subscribe(
        self, message_type: type, handler: Callable[[Sender, Any], None]
    ) -> None:
        self._handlers[message_type] = handler

    def owner(self, _shard: int) -> OwnerView:
        return OwnerView(bus_address="o", epoch=1, is_self=True)

    def send(self, _address: str, message: Any) -> None:
        self._handlers[type(message)](Sender(name="o", address="o"), message)

    def claim(self, attempt_id: str, wait_s: float) -> object:
        request = ClaimRun(
            shard=0,
            epoch=1,
            generation=0,
            key="acme/k",
            attempt_id=attempt_id,
            fingerprint="f",
        )
        return self.claims.claim_after_end(request, time.monotonic() + wait_s)

    def report(self, attempt_id: str) -> None:
        answer = StoredAnswer(status=200, headers=(), body=b"done")
        self.claims.report(
            ReportAnswered(
                shard=0,
                epoch=1,
                key="acme/k",
                attempt_id=attempt_id,
                answer=answer,
            )
        )


def test_resend_gets_the_answer_that_is_being_reported() -> None:
    """Guards against an order that is refused right after its answer.

    The demo sent an order again through another instance; the end of the first
    attempt had not reached the owner yet, and the caller got 409.
    """
    owner = _Owner()
    assert isinstance(owner.claim("a", 1.0), RunNow)
    eventlet.spawn_after(0.25, owner.report, "a")
    reply = owner.claim("b", 5.0)
    assert isinstance(reply, AlreadyAnswered)
    assert reply.answer.body == b"done"


def test_resend_does_not_wait_beyond_its_deadline() -> None:
    """Guards against a resend that hangs while the first attempt runs."""
    owner = _Owner()
    assert isinstance(owner.claim("a", 1.0), RunNow)
    started_s = time.monotonic()
    assert isinstance(owner.claim("b", 0.3), StillRunning)
    assert time.monotonic() - started_s < 1.0
