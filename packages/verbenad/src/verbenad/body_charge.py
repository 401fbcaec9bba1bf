"""Interface that charges the bodies of an attempt to a link."""

from typing import Protocol


class BodyCharge(Protocol):
    """Waits for tokens for body bytes.

    Both methods return false if they do not get the tokens.
    """

    def send(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens for the next bytes of the request body."""

    def receive(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens for the next bytes of the response body."""
