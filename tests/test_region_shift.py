"""Requests that change the region in which they run, in virtual time.

Each pattern changes traffic, servers or instances in a fleet that is sound.
The users allow 15 of 100 requests of a region to change their region from one
two seconds to the next.
"""

from collections.abc import Callable

from steering_model import SteeringModel, burst, constant
from steering_model_types import ModelRegion, ModelSize

MAX_MOVED_SHARE = 0.15
WINDOW_S = 2.0
STEP_S = 0.25
# Regions of the users' deployment, with twice the slots and requests, so that
# chance moves fewer of them.
SIZE = ModelSize(
    regions=(
        ModelRegion(name="flanders", instances=4, servers=2),
        ModelRegion(name="wallonia", instances=4, servers=8),
        ModelRegion(name="brussels", instances=3, servers=8),
    ),
    slots=18,
    affinity_keys=116,
    max_cached_keys=81,
)
CALM_PER_S = 0.5 * SIZE.capacity_per_s
# After this time the caches hold what is requested, and the shares of the
# regions have settled.
CALM_FROM_S = 14.0
FLANDERS, WALLONIA = 0, 4


def _calm() -> SteeringModel:
    return SteeringModel(per_s=constant(CALM_PER_S), size=SIZE)


def _most_moved(
    model: SteeringModel, from_s: float, to_s: float
) -> tuple[float, str, float]:
    """Return the largest share that moved, its region and its time."""
    result = model.run(to_s + WINDOW_S)
    steps = round((to_s - from_s) / STEP_S)
    return max(
        (
            result.moved_share(region.name, at_s, WINDOW_S),
            region.name,
            at_s,
        )
        for region in SIZE.regions
        for at_s in (from_s + step * STEP_S for step in range(steps + 1))
    )


def _starting_at(
    start_s: float, per_s: Callable[[float], float]
) -> Callable[[float], float]:
    return lambda at_s: per_s(at_s) if at_s >= start_s else 0.0


def test_start_of_traffic_moves_few_requests() -> None:
    """Guards against shares that change while there is no traffic.

    On toilechassis-gslb, the shares of all regions rose to 1 in the ten
    seconds before the first request. The region with a ninth of the servers
    was full at once and 30 of 100 of its requests moved within two seconds.
    """
    start_s = 10.0
    model = SteeringModel(
        per_s=_starting_at(start_s, constant(CALM_PER_S)), size=SIZE
    )
    moved = _most_moved(model, start_s + WINDOW_S, start_s + 4 * WINDOW_S)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_burst_moves_few_requests() -> None:
    """Guards against requests that all leave a region that is busy."""
    model = SteeringModel(
        per_s=burst(CALM_PER_S, 2.5 * CALM_PER_S, 20.0, 25.0), size=SIZE
    )
    moved = _most_moved(model, CALM_FROM_S, 30.0)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_callers_that_move_take_few_requests_along() -> None:
    """Guards against one region's requests that follow another's load."""

    def share_of(region: str, at_s: float) -> float:
        if not 20.0 <= at_s < 27.0:
            return 1.0
        return {"flanders": 0.5, "wallonia": 1.5}.get(region, 1.0)

    model = SteeringModel(
        per_s=constant(CALM_PER_S), share_of=share_of, size=SIZE
    )
    moved = _most_moved(model, CALM_FROM_S, 32.0)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_restarted_instances_move_few_requests() -> None:
    """Guards against instances that start with shares of their own."""
    model = _calm()
    for number in (FLANDERS, FLANDERS + 1, WALLONIA, WALLONIA + 1):
        model.at(20.0, lambda n=number: model.restart_instance(n))
    moved = _most_moved(model, CALM_FROM_S, 26.0)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_restarted_instances_use_what_the_others_have_learned() -> None:
    """Guards against instances that start with shares of their own.

    The callers of flanders ask for more than those of the other regions, so
    that its servers take less of it than their number would suggest.
    """
    model = SteeringModel(
        per_s=constant(CALM_PER_S),
        share_of=lambda region, _: 3.0 if region == "flanders" else 1.0,
        size=SIZE,
    )
    for number in range(FLANDERS, FLANDERS + 3):
        model.at(26.0, lambda n=number: model.restart_instance(n))
    moved = _most_moved(model, 24.0, 28.0)
    assert moved[0] <= MAX_MOVED_SHARE / 2, moved


def test_instances_back_from_a_cut_move_few_requests() -> None:
    """Guards against shares that change while reports are missing."""
    model = _calm()
    for number in (FLANDERS, FLANDERS + 1, WALLONIA, WALLONIA + 1):
        model.at(16.0, lambda n=number: model.set_cut_off(n, True))
        model.at(28.0, lambda n=number: model.set_cut_off(n, False))
    moved = _most_moved(model, CALM_FROM_S, 34.0)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_servers_that_join_move_few_requests() -> None:
    """Guards against objects that all follow new servers."""
    model = _calm()
    for number in range(4):
        model.at(
            20.0 + 0.3 * number,
            lambda: model.add_server("flanders", cold=True),
        )
    moved = _most_moved(model, CALM_FROM_S, 30.0)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_servers_that_leave_move_few_requests() -> None:
    """Guards against objects that leave the region with a server."""
    model = _calm()
    for number in range(2):
        model.at(20.0 + 0.3 * number, lambda: model.remove_server("wallonia"))
    moved = _most_moved(model, CALM_FROM_S, 28.0)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_servers_that_turn_cold_move_few_requests() -> None:
    """Guards against objects that leave the region in a cold start."""
    model = _calm()
    model.at(20.0, lambda: model.make_cold("wallonia", 3))
    moved = _most_moved(model, CALM_FROM_S, 28.0)
    assert moved[0] <= MAX_MOVED_SHARE, moved


def test_regions_with_room_serve_their_own_callers() -> None:
    """Guards against learned cache sizes that send requests away.

    On toilechassis-gslb, two regions of eight servers each served half of
    each other's objects. A server was asked for 14 objects, so that a cache
    of 81 was taken for one of 12.
    """
    model = SteeringModel(per_s=constant(0.6 * CALM_PER_S), size=SIZE)
    runs = model.run(30.0).runs
    own = [
        run.in_region == "wallonia"
        for run in runs
        if run.from_region == "wallonia" and run.arrived_s >= CALM_FROM_S
    ]
    assert sum(own) >= 0.9 * len(own)


def test_full_region_is_not_overloaded_by_the_others() -> None:
    """Guards against objects that are sent to a region with few servers.

    On toilechassis-gslb, the others sent a sixth of their requests to a
    region that could not serve its own.
    """
    model = SteeringModel(per_s=constant(1.1 * CALM_PER_S), size=SIZE)
    runs = model.run(24.0).runs
    into = [
        run.in_region == "flanders"
        for run in runs
        if run.from_region != "flanders" and run.arrived_s >= CALM_FROM_S
    ]
    assert sum(into) <= 0.02 * len(into)
