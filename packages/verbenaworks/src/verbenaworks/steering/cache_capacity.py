"""Learned number of objects whose data a service's servers keep cached.

A server keeps the data of the objects that it handled last. How many these are
differs between services. It is learned from the response times of requests for
an object, by the number of other objects handled since the last one.

A server that is asked for few objects shows only that its cache holds these.
The learned number is a limit only if a good part of the requests find the data
of their object evicted.
"""

import math

INITIAL_OBJECTS = 12.0
MIN_OBJECTS = 2.0
# Weight of a new observation.
OBSERVATION_WEIGHT = 0.1
# Share of the learned number below which a slow response has other causes, and
# above which a fast one has.
MIN_MISS_SHARE = 0.5
MAX_HIT_SHARE = 2.0
# Share of requests with evicted data above which caches count as too small,
# and the weight of a request in its moving average.
MIN_MISS_RATE = 0.25
MISS_RATE_WEIGHT = 0.05


class CacheCapacity:
    """Estimate for one service.

    :ivar objects: objects whose data a server keeps, at least.
    """

    __slots__ = ("_miss_rate", "objects")

    def __init__(self) -> None:
        self.objects = INITIAL_OBJECTS
        self._miss_rate = 0.0

    @property
    def max_objects(self) -> float:
        """Objects whose data a server keeps at most; infinite if unknown."""
        if self._miss_rate < MIN_MISS_RATE:
            return math.inf
        return self.objects

    def observe(self, objects_since: int, *, fast: bool) -> None:
        """Record the response to a request for an object.

        :param objects_since: other objects that the server has handled since
            its last request for this one.
        :param fast: whether the response time shows that the data was cached.
        """
        if objects_since >= MIN_MISS_SHARE * self.objects:
            self._miss_rate += MISS_RATE_WEIGHT * (
                (not fast) - self._miss_rate
            )
        most_since = MAX_HIT_SHARE * self.objects
        if fast and self.objects <= objects_since < most_since:
            self.objects += OBSERVATION_WEIGHT * (
                objects_since + 1 - self.objects
            )
        elif (
            not fast
            and MIN_MISS_SHARE * self.objects <= objects_since < self.objects
        ):
            self.objects -= OBSERVATION_WEIGHT * (self.objects - objects_since)
            self.objects = max(MIN_OBJECTS, self.objects)
