"""Slow start: limits for targets that have just come into service.

A cold target has empty caches. It responds slowly at first and becomes faster
with the requests that it serves. At first only some of the instances use it,
each with a few requests; both numbers grow over the ramp. A limit on the
requests of each instance alone would not suffice, because every instance may
hold one of the target's units.
"""

from hashlib import blake2b

RAMP_S = 10.0
_INITIAL_SHARE = 0.2


class SlowStart:
    """Limits the requests in flight at targets that are warming up.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._started_at_s: dict[str, float] = {}
        self._ranks: dict[str, float] = {}

    def start(self, now_s: float, target: str) -> None:
        """Start the ramp of a new or re-admitted target."""
        self._started_at_s[target] = now_s
        self._ranks[target] = self._rank(target)

    def forget(self, target: str) -> None:
        """Forget a target that was removed."""
        self._started_at_s.pop(target, None)
        self._ranks.pop(target, None)

    def is_active(self, target: str) -> bool:
        """Return whether the target may be on its ramp."""
        return target in self._started_at_s

    def limit(
        self, now_s: float, target: str, slots: int, *, all_cold: bool = False
    ) -> int:
        """Return how many requests this instance may have in flight.

        :param all_cold: whether all usable targets are on their ramps. Then
            every instance may use each of them.
        """
        started_at_s = self._started_at_s.get(target)
        if started_at_s is None:
            return slots
        elapsed_s = now_s - started_at_s
        if elapsed_s >= RAMP_S:
            del self._started_at_s[target]
            return slots
        share = _INITIAL_SHARE + (1.0 - _INITIAL_SHARE) * elapsed_s / RAMP_S
        if not all_cold and self._ranks[target] >= share:
            return 0
        return max(1, int(slots * share))

    def _rank(self, target: str) -> float:
        name = f"{self._instance}/{target}".encode()
        digest = blake2b(name, digest_size=4).digest()
        return int.from_bytes(digest) / 2**32
