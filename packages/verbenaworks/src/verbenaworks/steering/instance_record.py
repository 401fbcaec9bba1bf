"""Registration of an instance."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceRecord:
    """Registration of an instance that callers may use.

    :param incarnation: identifies one process; differs between two processes
        with the same name.
    :param caller_address: where callers connect.
    :param peer_address: where other instances send datagrams.
    :param capacity: processor share, relative to other instances.
    :param store_era: era of the store in which the process started.
    """

    name: str
    incarnation: int
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    capacity: float
    store_era: int = field(default=0, compare=False)
