"""Class of a request under a shortage."""

from dataclasses import dataclass

# Part of the way from the usual to the strict wait that the first class goes.
# The other classes wait less, so that with the whole way the queues would be
# too short to keep all slots in use.
STRICT_PART = 0.4
# Part of the longest wait over which the classes are spread. Waits are
# estimates, so that the steps between more classes would be lost in the error.
WAIT_RANGE = 0.9
MAX_SPREAD_CLASSES = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionClass:
    """Decides how long a request may wait while a service is short.

    :ivar number: 0 is served first.
    :ivar classes: number of classes that requests are in now.
    :ivar is_above_share: whether its workspace is above its share.
    :ivar is_starved: whether its rank or workspace was served too seldom, so
        that it is served first.
    :ivar refused_for_s: for how long its rank has been refused.
    :ivar share_per_s: largest share of a workspace in the fleet; none if all
        have what they want.
    :ivar age_s: age of the newest report of another instance; none without.
    :ivar level: level of the shortage.
    :ivar separation: how far apart the limits of the classes are.
    """

    rank: int
    number: float
    classes: int
    is_above_share: bool
    is_starved: bool
    refused_for_s: float
    share_per_s: float | None
    age_s: float | None
    level: float
    separation: float

    def max_wait_s(self, usual_s: float, strict_s: float) -> float:
        """Return the longest wait; 0 if the request needs a free slot.

        :param usual_s: longest wait that meets the latency objective.
        :param strict_s: longest wait in a sustained overload.
        """
        longest_s = usual_s + STRICT_PART * self.level * (strict_s - usual_s)
        step = WAIT_RANGE / min(MAX_SPREAD_CLASSES, self.classes)
        reduction = step * self.number * self.separation
        return min(usual_s, longest_s * max(0.0, 1.0 - reduction))

    @property
    def reason(self) -> str:
        """What refuses a request of this class, for the metrics."""
        if self.is_above_share:
            return "share"
        return "rank" if self.number > 0 else "capacity"

    def describe(self) -> str:
        """Return the class for the log."""
        share = "within share"
        if self.is_above_share:
            share = "above share"
        if self.share_per_s is not None:
            share += f" of {self.share_per_s:.1f}/s"
        if self.is_starved:
            share += ", starved"
        age = "no reports"
        if self.age_s is not None:
            age = f"reports {self.age_s:.1f} s old"
        return (
            f"rank {self.rank}, class {self.number:.2f}, {share}, {age},"
            f" shortage {self.level:.2f}"
        )
