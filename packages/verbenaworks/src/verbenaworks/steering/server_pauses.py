"""Pauses that backend servers ask for when they refuse a request.

A server that refuses may say for how long it wants nothing from the instance
that it refuses. A pause binds that instance only, so the others are not told.
"""

from collections.abc import Callable

from verbenaworks.steering.backend_server import BackendServer

# Longer pauses end after this time, so that no value takes a server out of use
# for ever.
MAX_PAUSE_S = 600.0
# Time after a pause in which an instance's requests in flight at the server
# may grow from one to its slots.
RETURN_S = 2.0

PauseCallback = Callable[[BackendServer, float], None]


class ServerPauses:
    """Pauses as one instance has been asked for them.

    :param on_pause: called with a server and the time left, if a pause begins
        or gets longer.
    """

    def __init__(
        self, *, on_pause: PauseCallback = lambda server, left_s: None
    ) -> None:
        self._on_pause = on_pause
        self._ends_s: dict[tuple[str, int], float] = {}

    def record_pause(
        self, now_s: float, server: BackendServer, pause_s: float
    ) -> None:
        """Record that a server wants no requests for a time.

        The longest one counts: a shorter one that is named later, with the
        refusal of another request, does not end it.
        """
        left_s = min(pause_s, MAX_PAUSE_S)
        if left_s <= self.left_s(now_s, server):
            return
        self._ends_s[server.incarnation] = now_s + left_s
        self._on_pause(server, left_s)

    def left_s(self, now_s: float, server: BackendServer) -> float:
        """Return the time until a server's pause ends; 0 without one."""
        end_s = self._ends_s.get(server.incarnation, now_s)
        return max(0.0, end_s - now_s)

    def allows(
        self, now_s: float, server: BackendServer, in_flight: int
    ) -> bool:
        """Whether a request may be sent to a server now.

        :param in_flight: requests of this instance at the server.
        """
        if not self._ends_s:
            return True
        end_s = self._ends_s.get(server.incarnation)
        if end_s is None:
            return True
        if now_s < end_s:
            return False
        returning = server.slots * (now_s - end_s) / RETURN_S
        return in_flight < max(1.0, returning)

    def forget(self, now_s: float) -> None:
        """Delete the pauses that ended long enough ago."""
        oldest_s = now_s - RETURN_S
        for incarnation, end_s in list(self._ends_s.items()):
            if end_s < oldest_s:
                del self._ends_s[incarnation]
