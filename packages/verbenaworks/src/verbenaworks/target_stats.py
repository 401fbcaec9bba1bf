"""What this instance knows about one target.

Own observations count for more than what the target reports: reports only
separate targets that the own observations leave equal.
"""

from enum import IntEnum

from verbenaworks.load_report import Health, LoadReport

REPORT_MAX_AGE_S = 3.0
LATENCY_MAX_AGE_S = 30.0
# An own refusal is forgotten only after this time, and only when a health
# answer that was asked for later says that the target serves.
REFUSAL_HOLD_S = 5.0
# The longest hold is under the 3 s within which new work must stop.
SHED_HOLD_S = 0.25
LONGEST_SHED_HOLD_S = 2.0
# Two lost probe answers may be the network's fault; three are counted.
LOST_PROBES_TO_FAIL = 3
_GAIN = 0.1


class LeavingSignal(IntEnum):
    """Signs that a target is leaving; the values are bits."""

    DRAIN_SETTING = 1
    HEALTH = 2
    INSTANCE_LIST = 4
    REFUSAL = 8


class TargetStats:
    """Measurements of one target; changed only by the methods below."""

    __slots__ = (
        "consecutive_failures",
        "deviation_s",
        "failures",
        "in_flight",
        "latency_at_s",
        "latency_s",
        "lost_probes",
        "probe_at_s",
        "probe_failing",
        "quiet_since_s",
        "refused_at_s",
        "report",
        "report_at_s",
        "served",
        "shed_until_s",
        "sheds",
        "leaving_signals",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.served = 0
        self.failures = 0
        self.consecutive_failures = 0
        self.latency_s = 0.0
        self.deviation_s = 0.0
        self.latency_at_s: float | None = None
        self.report: LoadReport | None = None
        self.report_at_s = 0.0
        self.probe_failing = False
        self.probe_at_s: float | None = None
        self.lost_probes = 0
        self.refused_at_s = 0.0
        self.quiet_since_s = 0.0
        self.shed_until_s = 0.0
        self.sheds = 0
        self.leaving_signals = 0

    def started(self, now_s: float) -> None:
        """Count an attempt that begins."""
        if self.in_flight == 0:
            self.quiet_since_s = now_s
        self.in_flight += 1

    def ended(self, now_s: float) -> None:
        """Count an attempt that ended in any way."""
        self.in_flight -= 1
        self.quiet_since_s = now_s

    def answered(self, now_s: float, latency_s: float) -> None:
        """Record a full answer."""
        self.consecutive_failures = 0
        self.sheds = 0
        self.served += 1
        if self.latency_at_s is None or self._stale(now_s):
            self.latency_s = latency_s
            self.deviation_s = latency_s / 2
        else:
            error_s = latency_s - self.latency_s
            self.latency_s += _GAIN * error_s
            self.deviation_s += _GAIN * (abs(error_s) - self.deviation_s)
        self.latency_at_s = now_s

    def failed(self) -> None:
        """Record a failed attempt."""
        self.failures += 1
        self.consecutive_failures += 1

    def refused(self, now_s: float) -> None:
        """Record a refusal that shows that the target is leaving."""
        self.refused_at_s = now_s
        self.leaving_signals |= LeavingSignal.REFUSAL

    def shed(self, now_s: float, retry_after_s: float) -> None:
        """Record a refusal that names load as its reason.

        A target that refuses again after the hold, with no answer between,
        counts as leaving whatever reason it names.
        """
        if self.sheds and now_s >= self.shed_until_s:
            self.refused(now_s)
            return
        self.sheds += 1
        hold_s = min(max(retry_after_s, SHED_HOLD_S), LONGEST_SHED_HOLD_S)
        self.shed_until_s = max(self.shed_until_s, now_s + hold_s)

    def reported(self, measured_s: float, report: LoadReport) -> None:
        """Record a load report that was asked for at ``measured_s``."""
        if self.report is None or measured_s >= self.report_at_s:
            self.report = report
            self.report_at_s = measured_s

    def probed(self, asked_s: float, health: Health) -> None:
        """Record the health answer to a probe sent at ``asked_s``.

        An answer to a probe older than the newest one is ignored.
        """
        if self.probe_at_s is not None and asked_s < self.probe_at_s:
            return
        self.probe_at_s = asked_s
        match health:
            case Health.NO_ANSWER:
                self.lost_probes += 1
                if self.lost_probes >= LOST_PROBES_TO_FAIL:
                    self.probe_failing = True
                return
            case Health.LEAVING:
                self.leaving_signals |= LeavingSignal.HEALTH
            case Health.FAILING:
                self.leaving_signals &= ~LeavingSignal.HEALTH
                self.probe_failing = True
            case Health.OK:
                self.leaving_signals &= ~LeavingSignal.HEALTH
                self.probe_failing = False
                if asked_s >= self.refused_at_s + REFUSAL_HOLD_S:
                    self.leaving_signals &= ~LeavingSignal.REFUSAL
                    self.sheds = 0
        self.lost_probes = 0

    def set_sign(self, sign: LeavingSignal, present: bool) -> None:
        """Record the drain setting or the state in the instance list."""
        if present:
            self.leaving_signals |= sign
        else:
            self.leaving_signals &= ~sign

    def expected_s(self, now_s: float, service_s: float) -> float:
        """Return the expected service time.

        The estimate moves to that of the whole service as it grows old.

        :param service_s: the usual service time of the service.
        """
        if self.latency_at_s is None:
            return service_s
        weight = 1.0 - (now_s - self.latency_at_s) / LATENCY_MAX_AGE_S
        if weight <= 0.0:
            return service_s
        return service_s + weight * (self.latency_s - service_s)

    def load(self, now_s: float, slots: int) -> float:
        """Return the load as a share of the slots, for comparisons.

        The report has half the weight of the own requests in flight, less as
        it ages, and is limited to the slots, so that a false report cannot
        outweigh them.
        """
        own = self.in_flight / slots
        if self.report is None:
            return own
        age_s = now_s - self.report_at_s
        if age_s >= REPORT_MAX_AGE_S:
            return own
        seen = self.report.in_flight + self.report.queued
        weight = 0.5 * (1.0 - age_s / REPORT_MAX_AGE_S)
        return own + weight * min(1.0, seen / slots)

    def _stale(self, now_s: float) -> bool:
        if self.latency_at_s is None:
            return True
        return now_s - self.latency_at_s >= LATENCY_MAX_AGE_S
