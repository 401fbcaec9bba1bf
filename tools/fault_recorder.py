"""Collects the events of a fault run."""

import threading

from standins.history_event import Event


class Recorder:
    """Collects events from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events: list[Event] = []

    def add(self, event: Event) -> None:
        """Record an event."""
        with self._lock:
            self._events.append(event)

    def events(self) -> list[Event]:
        """Return the events recorded so far, in order of time."""
        with self._lock:
            return sorted(self._events, key=lambda event: event.at_s)
