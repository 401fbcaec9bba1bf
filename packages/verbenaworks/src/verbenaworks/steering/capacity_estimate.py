"""Capacity of one backend server, estimated from its response times.

A response time is compared with the usual time of its request. It rises in
proportion to the requests at the server above the number of its usable slots,
whether these requests wait or slow each other down. The median of the times,
with this rise removed, is the server's speed.
"""

import math
from collections import deque
from collections.abc import Sequence
from statistics import median, quantiles

from verbenaworks.steering.server_capacity import ServerCapacity

# Samples are used for this long, and only the last ones if there are many.
SAMPLE_RETENTION_S = 16.0
MAX_SAMPLES = 32
MIN_SAMPLES = 6
# A server counts as slower or faster than usual if the median of its times
# does so by this factor, three quarters of the times by the smaller one, and
# the median by this many standard errors. It counts as usual again when the
# median is within the smaller factor.
MIN_SPEED_EFFECT = 1.3
MIN_QUARTILE_EFFECT = 1.15
MIN_STANDARD_ERRORS = 5.0
# Standard error of a median of n normal values, in interquartile ranges / √n.
# Few samples may lie close together by chance: the range is not taken for less
# than the least one, in logarithms.
STANDARD_ERROR_SHARE = 0.93
MIN_QUARTILE_RANGE = 0.3
# Fewer slots than configured are usable if there are samples on both sides of
# the limit, times above it rise by this factor at least, and the limit leaves
# at most this share of the deviations unexplained.
MIN_SAMPLES_EACH_SIDE = 6
MIN_RISE = 1.45
MAX_UNEXPLAINED_SHARE = 0.55
# Requests at the server beyond this are counted as this.
MAX_LOAD_PER_SLOT = 2.5
# Values are derived from the samples once in this time.
LEARN_PERIOD_S = 0.5
# Without new evidence, learned values return to the configured ones with this
# time constant. Smaller differences than these are none.
KNOWLEDGE_DECAY_S = 20.0
MIN_SLOTS_DIFFERENCE = 0.5
MIN_FACTOR_DIFFERENCE = 0.1


class CapacityEstimate:
    """Estimate for one incarnation of a server.

    :param slots: its configured slots.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        # Time, requests at the server, logarithm of the relative time.
        self._samples: deque[tuple[float, float, float]] = deque(
            maxlen=MAX_SAMPLES
        )
        self._usable = float(slots)
        self._usable_at_s = float("-inf")
        self._log_factor = 0.0
        self._factor_at_s = float("-inf")
        self._typical: float | None = None
        self._learned_at_s = float("-inf")

    def observe(
        self, now_s: float, load: float, ratio: float, level: float | None
    ) -> None:
        """Record a response.

        :param load: requests that ran or waited at the server, this one
            included.
        :param ratio: its time at the server in usual times.
        :param level: what the ratio currently is at the service's servers;
            none if it is not known.
        """
        self._prune(now_s)
        load = min(max(1.0, load), MAX_LOAD_PER_SLOT * self._slots)
        self._samples.append((now_s, load, math.log(ratio)))
        if (
            len(self._samples) < MIN_SAMPLES
            or now_s - self._learned_at_s < LEARN_PERIOD_S
        ):
            return
        self._learned_at_s = now_s
        self._learn_slots(now_s)
        ratios = self._unloaded(self.capacity(now_s).usable_slots)
        self._typical = math.exp(median(ratios))
        if level is not None:
            self._learn_speed(now_s, ratios, math.log(level))

    def count(self, now_s: float) -> int:
        """Return the number of samples that are in use."""
        self._prune(now_s)
        return len(self._samples)

    def typical_ratio(self, now_s: float) -> float | None:
        """Return the median of the ratios; none if there are few."""
        return self._typical if self.count(now_s) >= MIN_SAMPLES else None

    def capacity(self, now_s: float) -> ServerCapacity:
        """Return the learned capacity; the configured one if it is unclear."""
        kept = _kept(now_s - self._usable_at_s)
        usable = self._slots - kept * (self._slots - self._usable)
        if self._slots - usable < MIN_SLOTS_DIFFERENCE:
            usable = float(self._slots)
        kept = _kept(now_s - self._factor_at_s)
        factor = math.exp(kept * self._log_factor)
        if abs(factor - 1.0) < MIN_FACTOR_DIFFERENCE:
            factor = 1.0
        return ServerCapacity(
            usable_slots=usable,
            time_factor=factor,
            samples=self.count(now_s),
        )

    def contradicts(self, now_s: float, usable_slots: float) -> bool:
        """Whether the samples show that more slots are usable."""
        self._prune(now_s)
        above = sum(n > usable_slots for _, n, _ in self._samples)
        return above >= MIN_SAMPLES_EACH_SIDE and self._deviation(
            self._slots
        ) <= self._deviation(usable_slots)

    def _learn_slots(self, now_s: float) -> None:
        best = min(range(self._slots, 0, -1), key=self._deviation)
        if best == self._slots:
            # Only samples above the known limit show that it no longer holds.
            known_above = sum(n > self._usable for _, n, _ in self._samples)
            if known_above >= MIN_SAMPLES_EACH_SIDE:
                self._usable = float(self._slots)
        elif self._is_clear_limit(best):
            self._usable = float(best)
            self._usable_at_s = now_s

    def _is_clear_limit(self, limit: int) -> bool:
        below: list[float] = []
        above: list[float] = []
        # What the configured slots explain is no sign of fewer slots.
        ratios = self._unloaded(self._slots)
        for (_, n, _), ratio in zip(self._samples, ratios, strict=True):
            (above if n > limit else below).append(ratio)
        return (
            min(len(below), len(above)) >= MIN_SAMPLES_EACH_SIDE
            and median(above) - median(below) >= math.log(MIN_RISE)
            and self._deviation(limit)
            <= MAX_UNEXPLAINED_SHARE * self._deviation(self._slots)
        )

    def _learn_speed(
        self, now_s: float, ratios: Sequence[float], log_level: float
    ) -> None:
        low, middle, high = (q - log_level for q in quantiles(ratios, n=4))
        error = (
            STANDARD_ERROR_SHARE
            * max(high - low, MIN_QUARTILE_RANGE)
            / math.sqrt(len(ratios))
        )
        effect = max(math.log(MIN_SPEED_EFFECT), MIN_STANDARD_ERRORS * error)
        quartile = math.log(MIN_QUARTILE_EFFECT)
        is_clear = (middle >= effect and low >= quartile) or (
            middle <= -effect and high <= -quartile
        )
        if is_clear or (self._log_factor and abs(middle) >= quartile):
            self._log_factor = middle
            self._factor_at_s = now_s
        else:
            self._log_factor = 0.0

    def _unloaded(self, usable: float) -> Sequence[float]:
        """Return the ratios without the rise above the usable slots."""
        return [
            ratio - max(0.0, math.log(n / usable))
            for _, n, ratio in self._samples
        ]

    def _deviation(self, usable: float) -> float:
        """Return the sum of the deviations that a limit leaves unexplained."""
        ratios = self._unloaded(usable)
        middle = median(ratios)
        return sum(abs(ratio - middle) for ratio in ratios)

    def _prune(self, now_s: float) -> None:
        if self._samples and now_s < self._samples[-1][0]:
            # The clock went back; ages are unknown.
            self._samples.clear()
            self._usable_at_s = self._factor_at_s = float("-inf")
            self._learned_at_s = float("-inf")
        oldest_s = now_s - SAMPLE_RETENTION_S
        while self._samples and self._samples[0][0] < oldest_s:
            self._samples.popleft()


def _kept(age_s: float) -> float:
    # An age below zero is from before a clock step.
    return math.exp(-age_s / KNOWLEDGE_DECAY_S) if age_s >= 0.0 else 0.0
