"""The usual service time of a service, from the instance's own answers."""

_GAIN = 0.05
_MEASURED_S = 10.0


class ServiceTime:
    """Mean and deviation of the service time over all targets."""

    __slots__ = ("deviation_s", "mean_s", "measured_at_s")

    def __init__(self) -> None:
        self.mean_s: float | None = None
        self.deviation_s = 0.0
        self.measured_at_s = float("-inf")

    def answered(self, now_s: float, elapsed_s: float) -> None:
        """Record the service time of one answer."""
        self.measured_at_s = now_s
        if self.mean_s is None:
            self.mean_s = elapsed_s
            self.deviation_s = elapsed_s / 2
            return
        error_s = elapsed_s - self.mean_s
        self.mean_s += _GAIN * error_s
        self.deviation_s += _GAIN * (abs(error_s) - self.deviation_s)

    def measured(self, now_s: float) -> bool:
        """Tell whether any measurement of the service is recent."""
        return now_s - self.measured_at_s < _MEASURED_S

    def safe_s(self) -> float:
        """Return a time within which nearly all requests are answered."""
        return (self.mean_s or 0.0) + 4.0 * self.deviation_s
