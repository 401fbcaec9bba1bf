"""What one instance tells the others about itself."""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member; a higher state prevails over a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One instance as the others know it.

    :param incarnation: identifies one run; a restart has a higher one.
    :param counter: raised by the member itself to refute a suspicion.
    :param report: raised by the member itself for each change of the fields
        below ``state``. It is apart from ``counter``, because otherwise
        members that know a newer report would ignore a suspicion.
    :param caller_address: host and port for callers.
    :param bus_address: host and port for other instances.
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
        """Return whether the member may be given work or duties."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)
