"""The bodies of one attempt on the links to another region."""

from verbenad.cancellation import Cancellation
from verbenad.link_limiter import LinkLimiter
from verbenaworks.link_reservation import LinkReservation


class LinkTransfer:
    """Charges the bodies of one attempt.

    :param cancellation: ends a wait when the caller has gone.
    """

    __slots__ = ("_cancellation", "_gate", "_hold")

    def __init__(
        self,
        gate: LinkLimiter,
        hold: LinkReservation,
        cancellation: Cancellation | None,
    ) -> None:
        self._gate = gate
        self._hold = hold
        self._cancellation = cancellation

    def send(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens of a part of the request's body."""
        return self._gate.charge_request(
            self._hold, size_bytes, until_s, self._is_cancelled
        )

    def receive(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens of a part of the answer's body."""
        return self._gate.charge_answer(
            self._hold, size_bytes, until_s, self._is_cancelled
        )

    def _is_cancelled(self) -> bool:
        cancellation = self._cancellation
        return cancellation is not None and cancellation.cancelled
