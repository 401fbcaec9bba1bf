"""Compares admission by rank and share with equal refusals, by replay.

Each load runs in `steering_model` with the same seeds, with the admission
switched off and on. The tool prints the share of requests that were answered
within the latency objective, for all requests and for each rank, from the
time on at which the load changes and caches are warm. Times count from the
first attempt of a caller. The share of late responses is that of the whole
run.
"""

import argparse
from collections.abc import Iterator
from dataclasses import dataclass

from steering_model import SteeringModel, burst, constant
from steering_model_types import ModelResult, ModelSize, ModelTraffic

CAPACITY_PER_S = ModelSize().capacity_per_s
LENGTH_S = 16.0
CHANGE_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionLoad:
    """Requests of several ranks and workspaces.

    :ivar halved_at_s: when half of the servers leave; none if they stay.
    """

    traffic: tuple[ModelTraffic, ...]
    halved_at_s: float | None = None

    def model(
        self, *, is_on: bool, seed: int = 1, returns: bool = False
    ) -> SteeringModel:
        """Return a model of the load.

        :param is_on: whether requests are admitted by rank and share.
        :param returns: whether refused callers return once.
        """
        model = SteeringModel(
            traffic=self.traffic,
            rank_admission=is_on,
            seed=seed,
            returns=returns,
            counted_from_s=CHANGE_S,
        )
        if self.halved_at_s is not None:
            region = model.size.regions[0]
            for _ in range(region.servers // 2):
                model.at(
                    self.halved_at_s, lambda: model.remove_server(region.name)
                )
        return model


def ranks(
    load: float, count: int, halved_at_s: float | None = None
) -> AdmissionLoad:
    """Return equal demand of several ranks with three workspaces each."""
    per_s = constant(load * CAPACITY_PER_S / (3 * count))
    return AdmissionLoad(
        traffic=tuple(
            ModelTraffic(rank=rank, workspace=f"{rank}-{n}", per_s=per_s)
            for rank in range(count)
            for n in range(3)
        ),
        halved_at_s=halved_at_s,
    )


def rank_burst() -> AdmissionLoad:
    """Return three ranks of which the last grows to four times its usual."""
    usual = 0.23 * CAPACITY_PER_S
    grown = burst(usual, 4 * usual, CHANGE_S, LENGTH_S)
    return AdmissionLoad(
        traffic=tuple(
            ModelTraffic(
                rank=rank, per_s=grown if rank == 2 else constant(usual)
            )
            for rank in range(3)
        )
    )


def workspace_surge() -> AdmissionLoad:
    """Return eight workspaces of which ``w0`` grows to five times."""
    usual = 0.1 * CAPACITY_PER_S
    grown = burst(usual, 5 * usual, CHANGE_S, LENGTH_S)
    return AdmissionLoad(
        traffic=tuple(
            ModelTraffic(
                workspace=f"w{n}", per_s=constant(usual) if n else grown
            )
            for n in range(8)
        )
    )


LOADS = {
    "two ranks, 1.1 times": ranks(1.1, 2),
    "two ranks, 1.5 times": ranks(1.5, 2),
    "three ranks, 1.5 times": ranks(1.5, 3),
    "three ranks, 3 times": ranks(3.0, 3),
    "three ranks, 0.75 times": ranks(0.75, 3),
    "half of the servers leave": ranks(0.9, 3, CHANGE_S),
    "burst of rank 2": rank_burst(),
    "one workspace at 5 times": workspace_surge(),
}


def others_useful_share(result: ModelResult) -> float:
    """Return the useful share of the workspaces other than ``w0``."""
    others = [w for _, w in result.by_class if w != "w0"]
    shares = [result.useful_share_of(workspace=w) for w in others]
    return sum(shares) / max(1, len(shares))


def compare(seed: int, *, returns: bool) -> Iterator[str]:
    """Yield a table with two rows for each load."""
    yield (
        f"{'load, seed ' + str(seed):27s}"
        "      useful  answered   late  by rank"
    )
    for name, load in LOADS.items():
        for is_on in (False, True):
            model = load.model(is_on=is_on, seed=seed, returns=returns)
            result = model.run(LENGTH_S)
            by_rank = [
                f"{result.useful_share_of(rank=rank):.3f}"
                for rank in sorted({rank for rank, _ in result.by_class})
            ]
            if (0, "w0") in result.by_class:
                w0 = result.useful_share_of(workspace="w0")
                others = others_useful_share(result)
                by_rank = [f"w0 {w0:.3f}, others {others:.3f}"]
            yield (
                f"{name:27s} {'on ' if is_on else 'off'}"
                f"  {result.useful_share_of():.3f}"
                f"     {result.answered_share():.3f}"
                f"  {result.late / result.requests:.3f}  {' '.join(by_rank)}"
            )


def main() -> None:
    """Print the comparisons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument(
        "--returns", action="store_true", help="refused callers return once"
    )
    arguments = parser.parse_args()
    for seed in arguments.seeds:
        for line in compare(seed, returns=arguments.returns):
            print(line)


if __name__ == "__main__":
    main()
