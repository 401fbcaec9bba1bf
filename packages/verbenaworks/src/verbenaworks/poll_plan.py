"""Whom an instance asks whether its applied state is still the newest."""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenaworks.member import Member

# Up to this many instances poll the store themselves: 100 reads/s.
DIRECT_MEMBERS = 40
WATCHERS = 2
# Instances that one pair of parents serves; each child alternates between
# the two. A domain of 42 instances then has two levels below its watchers,
# and no instance answers more than 10 polls/s.
_CHILDREN_OF_PAIR = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class PollPlan:
    """The sources of one instance's confirmations.

    :param uses_store: polls the store's version of the key.
    :param watches: holds the store's long-poll watch.
    :param parents: relays, asked in turn.
    """

    uses_store: bool
    watches: bool
    parents: tuple[str, ...] = ()


def plan_polls(
    name: str, failure_domain: str, members: Iterable[Member]
) -> PollPlan:
    """Return the sources for the instance ``name``.

    Instances of a failure domain are ranked by name among those that are
    available. The first two are the watchers; each later pair of eight asks
    an earlier pair.
    """
    available = {m.name: m for m in members if m.is_available}
    domain = sorted(
        {n for n, m in available.items() if m.failure_domain == failure_domain}
        | {name}
    )
    rank = domain.index(name)
    direct = len(available) <= DIRECT_MEMBERS
    if rank < WATCHERS or direct:
        return PollPlan(uses_store=True, watches=rank < WATCHERS)
    pair = (rank - WATCHERS) // _CHILDREN_OF_PAIR
    return PollPlan(
        uses_store=False,
        watches=False,
        parents=tuple(domain[2 * pair : 2 * pair + 2]),
    )
