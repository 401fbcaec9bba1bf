"""How many retries an instance may add to its own load."""

from verbenaworks.attempt_outcome import (
    Failed,
    Outcome,
    RefusedLeaving,
    RefusedOverload,
)

_WINDOW_S = 10.0


class RetryBudget:
    """Retries are at most a share of requests, plus a small constant.

    The balance is forgotten with a time constant of ten seconds, so that a
    busy hour does not pay for a storm of retries in the next one.

    :param share: retries per request.
    :param constant_per_s: retries per second that are always allowed.
    """

    def __init__(
        self, share: float = 0.1, constant_per_s: float = 0.5
    ) -> None:
        self._share = share
        self._constant_per_s = constant_per_s
        self._limit = 1.0 + constant_per_s * _WINDOW_S
        self._balance = self._limit
        self._earned = 0.0
        self._at_s = 0.0

    def request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._refill(now_s)
        self._earned += self._share

    def try_retry(
        self, now_s: float, outcome: Outcome, *, idempotent: bool
    ) -> bool:
        """Spend one retry; false if the request must not be sent again."""
        if not retry_is_safe(outcome, idempotent=idempotent):
            return False
        self._refill(now_s)
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._balance >= 1.0:
            self._balance -= 1.0
            return True
        return False

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._earned *= max(0.0, 1.0 - elapsed_s / _WINDOW_S)
        self._balance = min(
            self._limit, self._balance + elapsed_s * self._constant_per_s
        )


def retry_is_safe(outcome: Outcome, *, idempotent: bool) -> bool:
    """Tell whether sending the request again cannot run it twice."""
    match outcome:
        case RefusedLeaving() | RefusedOverload():
            return True
        case Failed(bytes_sent=bytes_sent):
            return idempotent or not bytes_sent
        case _:
            return False
