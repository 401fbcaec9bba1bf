"""Capacity of a backend server as learned from its responses."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerCapacity:
    """What one server can do.

    :ivar usable_slots: running requests up to which its throughput grows.
    :ivar time_factor: its time per request, where 1 is usual for the service
        and 2 is half as fast.
    :ivar samples: number of responses that show it.
    """

    usable_slots: float
    time_factor: float = 1.0
    samples: int = 0

    def differs(self, slots: int) -> bool:
        """Whether it differs from the configured slots and usual speed."""
        return self.usable_slots != slots or self.time_factor != 1.0

    def relative_slots(self, slots: int) -> float:
        """Return how many slots of a usual server it replaces.

        :param slots: its configured slots, the most that is returned.
        """
        return min(float(slots), self.usable_slots / self.time_factor)
