"""Order of preference of an object's servers, equal at all instances."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from verbenaworks.steering.backend_server import BackendServer


def rendezvous_order(
    thing: str, servers: Iterable[BackendServer]
) -> list[BackendServer]:
    """Return the servers with the object's first choice first.

    Highest-random-weight hashing: when servers come or go, only the objects
    of those servers move.
    """
    return sorted(
        servers,
        key=lambda server: rendezvous_weight(thing, server.server_id),
        reverse=True,
    )


def first_by_rendezvous(
    thing: str, names: Sequence[str], count: int
) -> tuple[str, ...]:
    """Return the first ``count`` names in the object's order."""
    ordered = sorted(
        names, key=lambda name: rendezvous_weight(thing, name), reverse=True
    )
    return tuple(ordered[:count])


def rendezvous_weight(thing: str, name: str) -> bytes:
    """Return the weight of a name for an object."""
    return blake2b(
        f"{thing}\0{name}".encode("utf-8", "replace"), digest_size=8
    ).digest()
