"""Charges for the bodies of one attempt."""

from typing import Protocol


class BodyCharge(Protocol):
    """Waits until a part of a body may pass; false if it may not."""

    def send(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens of a part of the request's body."""

    def receive(self, size_bytes: int, until_s: float) -> bool:
        """Wait for the tokens of a part of the answer's body."""
