"""Backend servers of the replay of load patterns."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

from steering_model_types import CACHED_SERVICE_TIME_S
from verbenaworks.steering.backend_server import BackendServer

UNCACHED_SERVICE_TIME_S = 0.64
COLD_SLOWDOWN = 2.0
SPELL_S = 0.6
SPELL_FACTOR = 2.5


@dataclass(kw_only=True, slots=True)
class ModelServer:
    """One server with slots, a queue and a cache.

    :ivar service_time_factor: how much longer it takes than other servers.
    :ivar knee: running requests above which its throughput does not grow.
    :ivar spells: starts of slow spells, which do not overlap.
    :ivar paused_until_s: until then it refuses all requests, and says so.
    """

    server: BackendServer
    max_cached_keys: int
    service_time_factor: float = 1.0
    knee: int | None = None
    spells: list[float] = field(default_factory=list)
    cold_until_s: float = 0.0
    paused_until_s: float = 0.0
    running: int = 0
    waiting: deque[Any] = field(default_factory=deque)
    cached_keys: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def end_s(self, now_s: float, affinity_key: str, random: Random) -> float:
        """Return when a request that starts now ends."""
        left_s = (
            CACHED_SERVICE_TIME_S
            if affinity_key in self.cached_keys
            else UNCACHED_SERVICE_TIME_S
        )
        if now_s < self.cold_until_s:
            left_s *= COLD_SLOWDOWN
        if self.knee is not None:
            left_s *= max(1.0, self.running / self.knee)
        left_s *= self.service_time_factor * random.uniform(0.8, 1.2)
        end_s = now_s + left_s
        for start_s in self.spells:
            if start_s >= end_s:
                break
            # Work done in the spell takes longer.
            slow_from_s = max(now_s, start_s)
            slow_s = min(
                start_s + SPELL_S - slow_from_s,
                (end_s - slow_from_s) * SPELL_FACTOR,
            )
            if slow_s > 0:
                end_s += slow_s * (1.0 - 1.0 / SPELL_FACTOR)
        return end_s

    def stated_factor(self, now_s: float) -> float:
        """Return how much longer than usual work takes on the machine."""
        in_spell = any(s <= now_s < s + SPELL_S for s in self.spells)
        return SPELL_FACTOR if in_spell else 1.0

    def add_spells(
        self, duration_s: float, share: float, random: Random
    ) -> None:
        """Add spells at random that fill a share of the time."""
        mean_gap_s = SPELL_S * (1.0 - share) / share
        at_s = random.expovariate(1.0 / mean_gap_s)
        while at_s < duration_s:
            self.spells.append(at_s)
            at_s += SPELL_S + random.expovariate(1.0 / mean_gap_s)

    def cache_key(self, affinity_key: str) -> None:
        """Keep the data of a key, instead of the one unused for longest."""
        self.cached_keys[affinity_key] = None
        self.cached_keys.move_to_end(affinity_key)
        if len(self.cached_keys) > self.max_cached_keys:
            self.cached_keys.popitem(last=False)
