"""Measurements of one target at this instance.

The instance's own observations count for more than the target's reports:
reports only decide between targets whose own observations are about equal.
"""

from enum import IntEnum

from verbenaworks.load_report import Health, LoadReport

REPORT_MAX_AGE_S = 3.0
LATENCY_MAX_AGE_S = 30.0
# Minimum time for which a refusal counts as a leaving signal. It ends with a
# healthy answer to a probe that was sent after this time.
REFUSAL_HOLD_S = 5.0
# A target that sheds load is not used for this long. The maximum is below the
# 3 s within which new work at a leaving target must stop.
MIN_SHED_HOLD_S = 0.25
MAX_SHED_HOLD_S = 2.0
# Two lost answers in a row may be the network's fault.
LOST_PROBES_TO_FAIL = 3
_SMOOTHING_FACTOR = 0.1


class LeavingSignal(IntEnum):
    """Signals that a target is leaving, as bit flags."""

    DRAIN_SETTING = 1
    HEALTH = 2
    INSTANCE_LIST = 4
    REFUSAL = 8


class TargetStats:
    """Measurements of one target; its methods alone change them."""

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
        "last_event_at_s",
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
        self.last_event_at_s = 0.0
        self.shed_until_s = 0.0
        self.sheds = 0
        self.leaving_signals = 0

    def record_start(self, now_s: float) -> None:
        """Record the start of an attempt."""
        if self.in_flight == 0:
            self.last_event_at_s = now_s
        self.in_flight += 1

    def record_end(self, now_s: float) -> None:
        """Record the end of an attempt, whatever its outcome."""
        self.in_flight -= 1
        self.last_event_at_s = now_s

    def record_response(self, now_s: float, latency_s: float) -> None:
        """Record a complete response."""
        self.consecutive_failures = 0
        self.sheds = 0
        self.served += 1
        if self.latency_at_s is None or self._is_stale(now_s):
            self.latency_s = latency_s
            self.deviation_s = latency_s / 2
        else:
            error_s = latency_s - self.latency_s
            self.latency_s += _SMOOTHING_FACTOR * error_s
            self.deviation_s += _SMOOTHING_FACTOR * (
                abs(error_s) - self.deviation_s
            )
        self.latency_at_s = now_s

    def record_failure(self) -> None:
        """Record a failed attempt."""
        self.failures += 1
        self.consecutive_failures += 1

    def record_refusal(self, now_s: float) -> None:
        """Record a refusal that shows that the target is leaving."""
        self.refused_at_s = now_s
        self.leaving_signals |= LeavingSignal.REFUSAL

    def record_overload(self, now_s: float, retry_after_s: float) -> None:
        """Record a refusal because of overload.

        A target that refuses again after the hold time, without a response
        in between, counts as leaving whatever reason it gives.
        """
        if self.sheds and now_s >= self.shed_until_s:
            self.record_refusal(now_s)
            return
        self.sheds += 1
        hold_s = min(max(retry_after_s, MIN_SHED_HOLD_S), MAX_SHED_HOLD_S)
        self.shed_until_s = max(self.shed_until_s, now_s + hold_s)

    def record_report(self, measured_s: float, report: LoadReport) -> None:
        """Record a load report that was requested at ``measured_s``."""
        if self.report is None or measured_s >= self.report_at_s:
            self.report = report
            self.report_at_s = measured_s

    def record_probe(self, asked_s: float, health: Health) -> None:
        """Record the result of a probe sent at ``asked_s``.

        The result of a probe older than the newest one is ignored.
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

    def set_leaving_signal(self, signal: LeavingSignal, present: bool) -> None:
        """Set or clear one leaving signal."""
        if present:
            self.leaving_signals |= signal
        else:
            self.leaving_signals &= ~signal

    def expected_s(self, now_s: float, service_s: float) -> float:
        """Return the expected service time.

        The estimate moves towards that of the service as it ages.

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

        The report has half the weight of this instance's requests in flight,
        less as it ages. It is limited to the slots, so that a false report
        cannot outweigh them.
        """
        own_load = self.in_flight / slots
        if self.report is None:
            return own_load
        age_s = now_s - self.report_at_s
        if age_s >= REPORT_MAX_AGE_S:
            return own_load
        reported_requests = self.report.in_flight + self.report.queued
        weight = 0.5 * (1.0 - age_s / REPORT_MAX_AGE_S)
        return own_load + weight * min(1.0, reported_requests / slots)

    def _is_stale(self, now_s: float) -> bool:
        if self.latency_at_s is None:
            return True
        return now_s - self.latency_at_s >= LATENCY_MAX_AGE_S
