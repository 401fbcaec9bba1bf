"""Counts of the messages and bytes on the bus by message type."""

from collections import Counter


class BusTraffic:
    """Messages and bytes in one direction."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    @property
    def total_bytes(self) -> int:
        """Return the bytes of all message types."""
        return self.bytes.total()

    def add(self, name: str, size_bytes: int) -> None:
        """Count one message."""
        self.messages[name] += 1
        self.bytes[name] += size_bytes
