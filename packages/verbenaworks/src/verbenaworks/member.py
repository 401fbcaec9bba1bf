"""Record of a member, as instances exchange it."""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member; a higher state overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """Record of one instance at the other instances.

    :param incarnation: identifies one process; a restart has a higher one.
    :param counter: incremented by the member itself to refute a suspicion.
    :param report: incremented by the member itself for each change of its
        reported values. It is separate from ``counter``, because otherwise
        members that know a newer report would ignore a suspicion.
    :param caller_address: ``host:port`` for callers.
    :param bus_address: ``host:port`` for other instances.
    :param load: share of the instance's capacity that is in use.
    """

    name: str
    incarnation: int
    counter: int = 0
    report: int = 0
    state: MemberState = MemberState.ALIVE
    caller_address: str = ""
    bus_address: str = ""
    region: str = ""
    failure_domain: str = ""
    config_revision: int = 0
    fresh: bool = False
    load: float = 0.0

    @property
    def is_running(self) -> bool:
        """Return whether the member is not known to be dead."""
        return self.state is not MemberState.DEAD

    @property
    def is_available(self) -> bool:
        """Return whether the member may get requests and duties."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)
