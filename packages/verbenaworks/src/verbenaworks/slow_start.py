"""Limits for targets that have just come into service.

A cold target has empty caches: it answers slowly and gains speed with the
requests that it serves. At first only some of the instances use it, and each
of these for a few requests only; both grow over the ramp. An instance alone
cannot limit a cold target otherwise, because every instance may hold one of
its units.
"""

from hashlib import blake2b

RAMP_S = 10.0
_FIRST_SHARE = 0.2


class SlowStart:
    """In-flight limits of targets while they warm up.

    :param instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._began_s: dict[str, float] = {}
        self._ranks: dict[str, float] = {}

    def begin(self, now_s: float, target: str) -> None:
        """Start the ramp of a target that is new or was re-admitted."""
        self._began_s[target] = now_s
        self._ranks[target] = self._rank(target)

    def forget(self, target: str) -> None:
        """Drop a target that was removed."""
        self._began_s.pop(target, None)
        self._ranks.pop(target, None)

    def active(self, target: str) -> bool:
        """Tell whether the target may be on its ramp."""
        return target in self._began_s

    def limit(
        self, now_s: float, target: str, slots: int, *, all_cold: bool = False
    ) -> int:
        """Return how many requests this instance may have in flight.

        :param all_cold: every usable target is on its ramp. Then each
            instance may use each target, because there is no other.
        """
        began_s = self._began_s.get(target)
        if began_s is None:
            return slots
        elapsed_s = now_s - began_s
        if elapsed_s >= RAMP_S:
            del self._began_s[target]
            return slots
        share = _FIRST_SHARE + (1.0 - _FIRST_SHARE) * elapsed_s / RAMP_S
        if not all_cold and self._ranks[target] >= share:
            return 0
        return max(1, int(slots * share))

    def _rank(self, target: str) -> float:
        name = f"{self._instance}/{target}".encode()
        digest = blake2b(name, digest_size=4).digest()
        return int.from_bytes(digest) / 2**32
