"""Learned cache sizes, and the number of objects in use."""

import math
from collections import OrderedDict
from random import Random

import pytest

from verbenaworks.steering.cache_capacity import CacheCapacity
from verbenaworks.steering.recent_objects import RECENT_S, RecentObjects


def _learn(cached: int, objects: int, noise: float = 0.0) -> CacheCapacity:
    """Return what is learned of a server that caches so many objects."""
    random = Random(1)
    capacity = CacheCapacity()
    recent: OrderedDict[int, None] = OrderedDict()
    for _ in range(4000):
        requested = random.randrange(objects)
        if requested in recent:
            since = list(reversed(recent)).index(requested)
            fast = since < cached
            if random.random() < noise:
                fast = not fast
            capacity.observe(since, fast=fast)
            del recent[requested]
        recent[requested] = None
    return capacity


@pytest.mark.parametrize("cached", [6, 14, 25, 50])
def test_cache_size_is_learned(cached: int) -> None:
    """Guards against one assumed size for all services.

    On the users' sites, servers keep 8 to 54 objects; 24 were assumed.
    """
    learned = _learn(cached, 3 * cached)
    assert 0.7 * cached <= learned.objects <= 1.3 * cached
    assert learned.max_objects == learned.objects


def test_noise_does_not_shrink_the_learned_size() -> None:
    """Guards against slow responses that count as evicted objects."""
    learned = _learn(20, 60, noise=0.05)
    assert 0.7 * 20 <= learned.objects <= 1.3 * 20


@pytest.mark.parametrize("noise", [0.0, 0.1])
def test_cache_that_holds_all_objects_is_no_limit(noise: float) -> None:
    """Guards against the number of objects that is taken for a cache's size.

    On toilechassis-gslb, caches of 81 objects were taken for caches of 12,
    because each server was asked for 14.
    """
    assert _learn(81, 14, noise).max_objects == math.inf
    assert CacheCapacity().max_objects == math.inf


def test_objects_are_forgotten() -> None:
    """Guards against a count of all objects that there ever were."""
    recent = RecentObjects()
    for number in range(50):
        recent.add(number / 10, str(number))
    assert recent.count(5.0) == 50
    recent.add(20.0, "7")
    assert recent.count(30.0) == 1
    assert recent.count(30.0 + RECENT_S) == 0
