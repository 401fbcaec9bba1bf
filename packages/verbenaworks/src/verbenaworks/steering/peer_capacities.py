"""Capacities of backend servers that other instances have reported."""

import math
from collections.abc import Mapping

from verbenaworks.steering.server_capacity import ServerCapacity

# A peer's value counts less and less with this time constant, and is dropped
# after the retention time. Complete reports come every 2 to 10 seconds.
PEER_VALUE_DECAY_S = 10.0
PEER_VALUE_RETENTION_S = 30.0
SLOT_UNITS = 10
FACTOR_UNITS = 100
MAX_REPORTED_SAMPLES = 255
# Values of peers beyond these are ignored; servers differ by less.
MIN_FACTOR = 0.1
MAX_FACTOR = 20.0

PackedCapacity = tuple[int, int, int]


class PeerCapacities:
    """Values of all peers, by a short hash of the server's incarnation."""

    def __init__(self) -> None:
        self._values: dict[int, dict[str, tuple[float, ServerCapacity]]] = {}

    def record(
        self, now_s: float, peer: str, packed: Mapping[int, PackedCapacity]
    ) -> None:
        """Record the values in a peer's report; unusable ones are ignored."""
        for key, (slots, factor, samples) in packed.items():
            time_factor = factor / FACTOR_UNITS
            if (
                slots <= 0
                or samples <= 0
                or not MIN_FACTOR <= time_factor <= MAX_FACTOR
            ):
                continue
            capacity = ServerCapacity(
                usable_slots=slots / SLOT_UNITS,
                time_factor=time_factor,
                samples=min(samples, MAX_REPORTED_SAMPLES),
            )
            self._values.setdefault(key, {})[peer] = (now_s, capacity)

    def capacity(
        self, now_s: float, key: int, slots: int
    ) -> ServerCapacity | None:
        """Return the mean of the peers' values; none if there is none.

        Values are weighted by their samples and their age.

        :param slots: configured slots of the server.
        """
        self._prune(now_s, key)
        weights = slots_sum = log_sum = 0.0
        for at_s, capacity in self._values.get(key, {}).values():
            weight = capacity.samples * math.exp(
                -(now_s - at_s) / PEER_VALUE_DECAY_S
            )
            weights += weight
            slots_sum += weight * min(capacity.usable_slots, slots)
            log_sum += weight * math.log(capacity.time_factor)
        if not weights:
            return None
        return ServerCapacity(
            usable_slots=slots_sum / weights,
            time_factor=math.exp(log_sum / weights),
            samples=int(weights),
        )

    def forget(self, existing: set[int]) -> None:
        """Delete the values of all incarnations but these."""
        for key in [k for k in self._values if k not in existing]:
            del self._values[key]

    def _prune(self, now_s: float, key: int) -> None:
        values = self._values.get(key, {})
        for peer, (at_s, _) in list(values.items()):
            # A value from the future is from before a clock step.
            if not 0.0 <= now_s - at_s < PEER_VALUE_RETENTION_S:
                del values[peer]


def pack_capacity(capacity: ServerCapacity) -> PackedCapacity:
    """Return a capacity in the form of a report."""
    return (
        round(capacity.usable_slots * SLOT_UNITS),
        round(capacity.time_factor * FACTOR_UNITS),
        min(capacity.samples, MAX_REPORTED_SAMPLES),
    )
