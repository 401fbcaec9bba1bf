"""Which sources an instance polls for confirmations of its applied state."""

from collections.abc import Iterable
from dataclasses import dataclass

from verbenaworks.member import Member

# In a fleet of up to this many instances, all of them poll the store. That
# makes 100 reads/s.
MAX_STORE_POLLERS = 40
WATCHERS_PER_DOMAIN = 2
# Number of instances that poll one pair of parents; each of them alternates
# between the two. A domain of 42 instances then has two levels below its
# watchers, and no instance answers more than 10 polls/s.
_CHILDREN_PER_PARENT_PAIR = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class PollPlan:
    """The sources of one instance's confirmations.

    :param uses_store: whether it polls the version of the key in the store.
    :param watches: whether it keeps a long-poll watch on the key.
    :param parents: instances that it polls in turn.
    """

    uses_store: bool
    watches: bool
    parents: tuple[str, ...] = ()


def plan_polls(
    name: str, failure_domain: str, members: Iterable[Member]
) -> PollPlan:
    """Return the sources for the instance ``name``.

    The available instances of a failure domain are sorted by name. The first
    two are the watchers. The others form groups of eight; each group polls a
    pair of instances earlier in the order.
    """
    available = {m.name: m for m in members if m.is_available}
    domain = sorted(
        {n for n, m in available.items() if m.failure_domain == failure_domain}
        | {name}
    )
    rank = domain.index(name)
    is_small_fleet = len(available) <= MAX_STORE_POLLERS
    if rank < WATCHERS_PER_DOMAIN or is_small_fleet:
        return PollPlan(uses_store=True, watches=rank < WATCHERS_PER_DOMAIN)
    pair = (rank - WATCHERS_PER_DOMAIN) // _CHILDREN_PER_PARENT_PAIR
    return PollPlan(
        uses_store=False,
        watches=False,
        parents=tuple(domain[2 * pair : 2 * pair + 2]),
    )
