"""How long an instance may act on the state that it has applied.

A confirmation is a time on the instance's own monotonic clock at which no
state newer than the applied one had taken effect. Times of different clocks
are never compared; instances exchange only durations.
"""

MAX_CONFIRMATION_AGE_S = 2.0
# Maximum relative difference between the rates of two clocks.
MAX_CLOCK_DRIFT = 0.005
POLL_PERIOD_S = 0.4
# After waiting this long on its own clock, an instance knows that another
# instance whose last confirmation was before the wait is no longer fresh.
FENCING_WAIT_S = MAX_CONFIRMATION_AGE_S * (1 + 2 * MAX_CLOCK_DRIFT)


class Freshness:
    """The newest confirmation of one instance."""

    def __init__(self) -> None:
        self._confirmed_at_s: float | None = None
        self._resumed_at_s: float | None = None

    @property
    def confirmed_at_s(self) -> float | None:
        """Return the newest confirmed time, or None before the first."""
        return self._confirmed_at_s

    @property
    def resumed_at_s(self) -> float | None:
        """Return the confirmed time that ended the last gap.

        Between two confirmations more than ``MAX_CONFIRMATION_AGE_S`` apart
        the instance was not fresh, even if nobody asked in that time, for
        example because the process was paused.
        """
        return self._resumed_at_s

    def confirm_by_store(self, sent_at_s: float) -> None:
        """Record that the store still contained the applied state.

        :param sent_at_s: when the request was sent. The receive time would
            be wrong, because the response may have been delayed.
        """
        self._confirm(sent_at_s)

    def confirm_by_relay(self, sent_at_s: float, age_s: float) -> None:
        """Record a relay's confirmation of the applied state.

        :param sent_at_s: when the poll was sent.
        :param age_s: age of the relay's own confirmation on its clock.
        """
        self._confirm(sent_at_s - age_s * (1 + MAX_CLOCK_DRIFT))

    def confirm_by_writers(self, sent_at_s: tuple[float, ...]) -> None:
        """Record attestations of the applied state by every writer.

        :param sent_at_s: when the polls to the writers were sent; not empty.
        """
        self._confirm(min(sent_at_s))

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the instance may act on the applied state."""
        return (
            self._confirmed_at_s is not None
            and now_s < self._confirmed_at_s + MAX_CONFIRMATION_AGE_S
        )

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the newest confirmed time."""
        if self._confirmed_at_s is None:
            return None
        return max(0.0, now_s - self._confirmed_at_s)

    def _confirm(self, at_s: float) -> None:
        previous_s = self._confirmed_at_s
        if previous_s is not None and at_s <= previous_s:
            return
        self._confirmed_at_s = at_s
        if previous_s is None or at_s >= previous_s + MAX_CONFIRMATION_AGE_S:
            self._resumed_at_s = at_s
