"""Usual service time of a service, measured at this instance."""

_SMOOTHING_FACTOR = 0.05
_MAX_MEASUREMENT_AGE_S = 10.0


class ServiceTime:
    """Mean and deviation of the service time over all targets."""

    __slots__ = ("deviation_s", "mean_s", "measured_at_s")

    def __init__(self) -> None:
        self.mean_s: float | None = None
        self.deviation_s = 0.0
        self.measured_at_s = float("-inf")

    def record(self, now_s: float, elapsed_s: float) -> None:
        """Record the service time of one response."""
        self.measured_at_s = now_s
        if self.mean_s is None:
            self.mean_s = elapsed_s
            self.deviation_s = elapsed_s / 2
            return
        error_s = elapsed_s - self.mean_s
        self.mean_s += _SMOOTHING_FACTOR * error_s
        self.deviation_s += _SMOOTHING_FACTOR * (
            abs(error_s) - self.deviation_s
        )

    def is_measured(self, now_s: float) -> bool:
        """Return whether a recent measurement of the service exists."""
        return now_s - self.measured_at_s < _MAX_MEASUREMENT_AGE_S

    def upper_estimate_s(self) -> float:
        """Return a time within which nearly all requests complete."""
        return (self.mean_s or 0.0) + 4.0 * self.deviation_s
