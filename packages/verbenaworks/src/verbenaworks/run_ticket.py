"""Tickets that tie an idempotency key to one ledger.

A caller gets a ticket in the lookup response and builds its idempotency key
as ``<ticket>.<random>``. The ticket names the only ledger that may allow the
key to run, so a key whose ledger is lost never runs.
"""

import re
from dataclasses import dataclass

MIN_RANDOM_LENGTH = 8
MAX_KEY_LENGTH = 200

_PATTERN = re.compile(
    r"([0-9]{1,5})-([0-9]{1,12})-([0-9]{1,12})\.[A-Za-z0-9_~.-]+", re.ASCII
)


@dataclass(frozen=True, kw_only=True, slots=True)
class RunTicket:
    """The ledger that decides about a key.

    :ivar shard: shard whose owner keeps the ledger.
    :ivar epoch: the owner's epoch.
    :ivar generation: generation of the ledger when the ticket was issued.
    """

    shard: int
    epoch: int
    generation: int

    def __str__(self) -> str:
        return f"{self.shard}-{self.epoch}-{self.generation}"


def parse_ticket(idempotency_key: str) -> RunTicket | None:
    """Return the ticket of a key; ``None`` if the key has none."""
    match = _PATTERN.fullmatch(idempotency_key)
    if match is None or len(idempotency_key) > MAX_KEY_LENGTH:
        return None
    _, _, random_part = idempotency_key.partition(".")
    if len(random_part) < MIN_RANDOM_LENGTH:
        return None
    shard, epoch, generation = (int(text) for text in match.groups())
    return RunTicket(shard=shard, epoch=epoch, generation=generation)
