"""Rendezvous hashing: the same order of servers at all instances."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from verbenaworks.steering.backend_server import BackendServer


def rendezvous_order(
    key: str, servers: Iterable[BackendServer]
) -> list[BackendServer]:
    """Return the servers in the rendezvous order of an affinity key.

    The order is by highest random weight: when servers join or leave, only the
    keys of those servers move.
    """
    return sorted(
        servers,
        key=lambda server: rendezvous_weight(key, server.server_id),
        reverse=True,
    )


def first_by_rendezvous(
    key: str, names: Sequence[str], count: int
) -> tuple[str, ...]:
    """Return the first ``count`` names in the rendezvous order of a key."""
    ordered = sorted(
        names, key=lambda name: rendezvous_weight(key, name), reverse=True
    )
    return tuple(ordered[:count])


def rendezvous_weight(key: str, name: str) -> bytes:
    """Return the weight of a name for a key."""
    return blake2b(
        f"{key}\0{name}".encode("utf-8", "replace"), digest_size=8
    ).digest()
