"""Recent use of a workspace near its limit, as kept in the store."""

from collections.abc import Iterable
from dataclasses import dataclass

# Requests are counted in slices of this length.
CHECKPOINT_SLICE_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCheckpoint:
    """Use of a workspace in the window, while it is near its limit.

    :param slices: requests of all instances in the window, by time slices,
        the newest first.
    """

    slices: tuple[int, ...]

    def remaining_after(self, age_s: float, window_s: float) -> float:
        """Return the requests that are still in the window later.

        :param age_s: time since the checkpoint was written.
        """
        return sum(
            count
            for number, count in enumerate(self.slices)
            if number * CHECKPOINT_SLICE_S + age_s < window_s
        )

    @property
    def total(self) -> int:
        """All requests of the checkpoint."""
        return sum(self.slices)


def make_checkpoint(ages: Iterable[tuple[float, float]]) -> UsageCheckpoint:
    """Return a checkpoint of requests.

    :param ages: pairs of an age in seconds and the requests of that age.
    """
    counts: list[float] = []
    for age_s, count in ages:
        index = int(max(0.0, age_s) / CHECKPOINT_SLICE_S)
        counts += [0.0] * (index + 1 - len(counts))
        counts[index] += count
    return UsageCheckpoint(slices=tuple(round(count) for count in counts))
