"""Interface that charges the bodies of an attempt to a link."""

from typing import Protocol


class BodyCharge(Protocol):
    """Waits for the tokens of body bytes; returns false if none come."""

    def send(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens of the next bytes of the request body."""

    def receive(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens of the next bytes of the response body."""
