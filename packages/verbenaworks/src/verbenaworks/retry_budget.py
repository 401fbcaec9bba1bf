"""Limit on the retries that an instance may add to the load."""

from verbenaworks.attempt_outcome import (
    Failed,
    Outcome,
    RefusedLeaving,
    RefusedOverload,
)

_DECAY_TIME_S = 10.0


class RetryBudget:
    """Limits retries to a share of the requests plus a small constant rate.

    Earned retries decay with a time constant of ten seconds, so that a busy
    hour does not allow a retry storm in the next one.

    :param share: retries per request.
    :param constant_per_s: retries per second that are always allowed.
    """

    def __init__(
        self, share: float = 0.1, constant_per_s: float = 0.5
    ) -> None:
        self._share = share
        self._constant_per_s = constant_per_s
        self._max_balance = 1.0 + constant_per_s * _DECAY_TIME_S
        self._constant_retries = self._max_balance
        self._earned_retries = 0.0
        self._refilled_at_s = 0.0

    def request(self, now_s: float) -> None:
        """Record a request of a caller."""
        self._refill(now_s)
        self._earned_retries += self._share

    def try_retry(
        self, now_s: float, outcome: Outcome, *, idempotent: bool
    ) -> bool:
        """Acquire one retry; false if the request must not be sent again."""
        if not retry_is_safe(outcome, idempotent=idempotent):
            return False
        self._refill(now_s)
        if self._earned_retries >= 1.0:
            self._earned_retries -= 1.0
            return True
        if self._constant_retries >= 1.0:
            self._constant_retries -= 1.0
            return True
        return False

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._earned_retries *= max(0.0, 1.0 - elapsed_s / _DECAY_TIME_S)
        self._constant_retries = min(
            self._max_balance,
            self._constant_retries + elapsed_s * self._constant_per_s,
        )


def retry_is_safe(outcome: Outcome, *, idempotent: bool) -> bool:
    """Return whether a retry cannot run the request twice."""
    match outcome:
        case RefusedLeaving() | RefusedOverload():
            return True
        case Failed(bytes_sent=bytes_sent):
            return idempotent or not bytes_sent
        case _:
            return False
