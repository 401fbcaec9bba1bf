"""Compares fixed and learned capacities of servers in virtual time.

Each row is one load pattern on servers that differ from their configuration,
with the same seeds for each setting of the switches.
"""

import argparse
import itertools
from collections.abc import Callable, Iterator, Mapping
from random import Random

from steering_model import SteeringModel, constant
from steering_model_types import ModelRegion, ModelResult, ModelSize

SPELL_SHARE = 0.15
SLOW_FACTOR = 2.0
# Results count from here on: caches are warm.
WARM_FROM_S = 4.0
LARGE_FLEET = ModelSize(
    regions=(ModelRegion(name="r", instances=10, servers=100),),
    slots=4,
    affinity_keys=290,
)


def set_equal(model: SteeringModel, duration_s: float) -> None:
    """Leave all servers as they are configured."""


def set_unequal(model: SteeringModel, duration_s: float) -> None:
    """Make each fourth server half as fast."""
    for server in list(model.servers.values())[3::4]:
        server.service_time_factor = SLOW_FACTOR


def set_knee(model: SteeringModel, duration_s: float) -> None:
    """Let the throughput of each second server end at half of its slots."""
    for server in list(model.servers.values())[::2]:
        server.knee = server.server.slots // 2


def set_change(model: SteeringModel, duration_s: float) -> None:
    """Let other servers be slow in the second half of the run."""
    servers = list(model.servers.values())
    first, second = servers[:4], servers[4:8]

    def change() -> None:
        for server in first:
            server.service_time_factor = 1.0
        for server in second:
            server.service_time_factor = SLOW_FACTOR

    for server in first:
        server.service_time_factor = SLOW_FACTOR
    model.at(duration_s / 2, change)


def set_spells(model: SteeringModel, duration_s: float) -> None:
    """Give all servers slow spells of their machines."""
    random = Random(101)
    for server in model.servers.values():
        server.add_spells(duration_s, SPELL_SHARE, random)


def set_spells_and_unequal(model: SteeringModel, duration_s: float) -> None:
    """Give all servers slow spells and make each fourth half as fast."""
    set_spells(model, duration_s)
    set_unequal(model, duration_s)


SETUPS_WITH_SPELLS = (set_spells, set_spells_and_unequal)

Setup = Callable[[SteeringModel, float], None]


def run(
    setup: Setup,
    *,
    load: float,
    seed: int,
    switches: Mapping[str, bool],
    size: ModelSize | None = None,
    duration_s: float = 20.0,
) -> ModelResult:
    """Run one load pattern, as a share of the configured capacity."""
    size = size or ModelSize()
    model = SteeringModel(
        per_s=constant(load * size.capacity_per_s),
        size=size,
        seed=seed,
        switches=switches,
    )
    setup(model, duration_s)
    return model.run(duration_s)


def compare(duration_s: float, seeds: int) -> Iterator[str]:
    """Yield a table with one row for each pattern, load and switch."""
    yield "servers             load  capacity speed  useful   late  refused"
    for setup in (set_equal, set_unequal, set_knee, set_change):
        for load in (0.3, 0.5, 0.7):
            for capacity in (False, True):
                yield _row(setup, load, duration_s, seeds, capacity=capacity)
    for setup in SETUPS_WITH_SPELLS:
        for capacity, speed in itertools.product((False, True), repeat=2):
            yield _row(
                setup, 0.35, duration_s, seeds, capacity=capacity, speed=speed
            )


def _row(
    setup: Setup,
    load: float,
    duration_s: float,
    seeds: int,
    *,
    capacity: bool,
    speed: bool = True,
) -> str:
    size = LARGE_FLEET if setup in SETUPS_WITH_SPELLS else ModelSize()
    results = [
        run(
            setup,
            load=load,
            seed=seed,
            switches={"learned_capacity": capacity, "machine_speed": speed},
            size=size,
            duration_s=duration_s,
        )
        for seed in range(1, seeds + 1)
    ]
    requests = sum(r.requests for r in results)
    per_s = load * size.capacity_per_s * seeds
    useful = sum(r.useful_per_s(WARM_FROM_S, duration_s) for r in results)
    return (
        f"{setup.__name__[4:]:18s} {load:5.2f}"
        f"  {'on' if capacity else 'off':8s}"
        f" {'on' if speed else 'off':5s}"
        f" {useful / per_s:7.3f}"
        f" {sum(r.late for r in results) / requests:6.3f}"
        f" {sum(r.refused for r in results) / requests:8.3f}"
    )


def main() -> None:
    """Print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, default=4)
    arguments = parser.parse_args()
    for line in compare(arguments.seconds, arguments.seeds):
        print(line, flush=True)


if __name__ == "__main__":
    main()
