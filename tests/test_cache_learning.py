"""Learned cache sizes, and the share of objects that a region can serve."""

from collections import OrderedDict
from random import Random

import pytest

from verbenaworks.steering.cache_capacity import CacheCapacity
from verbenaworks.steering.recent_objects import RECENT_S, RecentObjects
from verbenaworks.steering.region_demand import RegionDemand


def _learned(cached: int, objects: int, noise: float = 0.0) -> float:
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
    return capacity.objects


@pytest.mark.parametrize("cached", [6, 14, 25, 50])
def test_cache_size_is_learned(cached: int) -> None:
    """Guards against one assumed size for all services.

    On the users' sites, servers keep 8 to 54 objects; 24 were assumed.
    """
    learned = _learned(cached, 3 * cached)
    assert 0.7 * cached <= learned <= 1.3 * cached


def test_noise_does_not_shrink_the_learned_size() -> None:
    """Guards against slow responses that count as evicted objects."""
    learned = _learned(20, 60, noise=0.05)
    assert 0.7 * 20 <= learned <= 1.3 * 20


def test_objects_are_forgotten() -> None:
    """Guards against a count of all objects that there ever were."""
    recent = RecentObjects()
    for number in range(50):
        recent.add(number / 10, str(number))
    assert recent.count(5.0) == 50
    recent.add(20.0, "7")
    assert recent.count(30.0) == 1
    assert recent.count(30.0 + RECENT_S) == 0


def _share(
    demand: float, slots: int, objects: int, cached: float
) -> tuple[float, int]:
    region = RegionDemand()
    for step in range(100):
        region.update(
            step * 0.4,
            "north",
            "stock",
            demand=demand,
            slots=slots,
            objects=objects,
            cached_objects=cached,
        )
    return (
        region.local_share("north", "stock"),
        region.local_copies("north", "stock"),
    )


def test_region_with_room_serves_all_of_its_objects() -> None:
    """Guards against objects that are served far away without need."""
    assert _share(4.0, 18, 24, 80.0) == (1.0, 2)
    assert RegionDemand().local_share("north", "stock") == 1.0


def test_demand_beyond_the_slots_goes_elsewhere() -> None:
    """Guards against queues in a region while others have free slots."""
    share, copies = _share(9.0, 6, 24, 80.0)
    assert 0.3 <= share <= 0.4
    assert copies == 2


def test_objects_beyond_the_caches_go_elsewhere() -> None:
    """Guards against servers that always evict what is requested next."""
    share, copies = _share(1.0, 6, 48, 28.0)
    assert 0.3 <= share <= 0.4
    assert copies == 1


def test_instances_with_similar_figures_use_the_same_share() -> None:
    """Guards against objects with another home at each instance."""
    shares = {_share(demand, 6, 24, 80.0)[0] for demand in (8.0, 8.5, 8.9)}
    assert len(shares) == 1
