"""Rendezvous hashing: the same order of servers at all instances."""

from collections.abc import Sequence
from hashlib import blake2b


def first_by_rendezvous(
    key: str, names: Sequence[str], count: int
) -> tuple[str, ...]:
    """Return the first ``count`` names in the rendezvous order of a key.

    The order is by highest random weight: when names join or leave, only the
    keys of those names move.
    """
    ordered = sorted(
        names, key=lambda name: rendezvous_weight(key, name), reverse=True
    )
    return tuple(ordered[:count])


def rendezvous_weight(key: str, name: str) -> bytes:
    """Return the weight of a name for a key."""
    return blake2b(
        f"{key}\0{name}".encode("utf-8", "replace"), digest_size=8
    ).digest()
