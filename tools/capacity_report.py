"""Reports of learned capacities between modelled instances."""

from verbenaworks.steering.peer_capacities import PackedCapacity
from verbenaworks.steering.peer_report import PeerBeat, PeerReport


def capacity_report(
    name: str, capacity: dict[int, PackedCapacity] | None = None
) -> PeerReport:
    """Return an instance's report that has nothing but capacities."""
    beat = PeerBeat(
        name=name,
        incarnation=1,
        number=1,
        usable=True,
        leaving=False,
        active=True,
        load=0.0,
    )
    return PeerReport(
        beat=beat,
        in_flight={},
        usage={},
        crashes=(),
        missing=(),
        capacity=capacity or {},
    )
