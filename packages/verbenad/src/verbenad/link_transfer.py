"""Charges the bodies of an attempt to the links to another region."""

from verbenad.cancellation import Cancellation
from verbenad.link_limiter import LinkLimiter
from verbenaworks.link_reservation import LinkReservation


class LinkTransfer:
    """Charges the bodies of one attempt.

    :param cancellation: ends a wait when the caller disconnects.
    """

    __slots__ = ("_cancellation", "_limiter", "_reservation")

    def __init__(
        self,
        limiter: LinkLimiter,
        reservation: LinkReservation,
        cancellation: Cancellation | None,
    ) -> None:
        self._limiter = limiter
        self._reservation = reservation
        self._cancellation = cancellation

    def send(self, size_bytes: int, deadline_s: float) -> bool:
        """Wait for the tokens of the next bytes of the request body."""
        return self._limiter.charge_request(
            self._reservation, size_bytes, deadline_s, self._is_cancelled
        )

    def receive(self, size_bytes: int, deadline_s: float) -> bool:
        """Wait for the tokens of the next bytes of the response body."""
        return self._limiter.charge_answer(
            self._reservation, size_bytes, deadline_s, self._is_cancelled
        )

    def _is_cancelled(self) -> bool:
        cancellation = self._cancellation
        return cancellation is not None and cancellation.cancelled
