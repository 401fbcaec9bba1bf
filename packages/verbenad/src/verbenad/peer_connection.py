"""Decides when to reconnect to a peer.

An open connection can stop delivering data while new ones work. Frames to a
peer are numbered, and each frame from it acknowledges the last number that it
received. A broken connection is therefore detected even while the peer's own
frames arrive.
"""

# A connection is considered broken if frames on it are not acknowledged for
# this long.
REDIAL_AFTER_S = 2.0
# Frames carry numbers of 16 bits; far fewer are sent within REDIAL_AFTER_S.
_MASK = 0xFFFF


class PeerConnection:
    """State of the frames exchanged with one peer.

    :param first_number: number of the first frame. It is random, because the
        peer may still know the numbers of a previous incarnation.
    """

    def __init__(self, first_number: int) -> None:
        self._sent = (first_number - 1) & _MASK
        self._received = 0
        # The oldest frame that the peer has not acknowledged.
        self._pending = first_number & _MASK
        self._pending_since_s: float | None = None
        # When the oldest message that expects a reply was sent, if no frame
        # has arrived since.
        self._unanswered_since_s: float | None = None
        self._is_stale = False

    @property
    def received(self) -> int:
        """The number of the last received frame, to be acknowledged."""
        return self._received

    def needs_redial(self, now_s: float) -> bool:
        """Return whether the next frame needs a new connection.

        A peer with nothing to send acknowledges nothing. Unacknowledged
        replies alone therefore do not indicate a broken connection.
        """
        return self._is_stale or _is_late(now_s, self._unanswered_since_s)

    def redialed(self) -> None:
        """Record that a new connection was opened."""
        self._pending_since_s = None
        self._unanswered_since_s = None
        self._is_stale = False

    def next_number(self, now_s: float, *, is_answer: bool) -> int:
        """Return the number of a frame that is being sent."""
        self._sent = (self._sent + 1) & _MASK
        if self._pending_since_s is None:
            self._pending = self._sent
            self._pending_since_s = now_s
        if not is_answer and self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        return self._sent

    def record_frame(
        self, now_s: float, number: int, acknowledged: int
    ) -> None:
        """Record a frame from the peer."""
        self._received = number & _MASK
        self._unanswered_since_s = None
        if self._pending_since_s is None:
            return
        unacknowledged = (self._sent - self._pending) & _MASK
        acknowledged_frames = (acknowledged - self._pending) & _MASK
        if acknowledged_frames == unacknowledged:
            self._pending_since_s = None
            self._is_stale = False
        elif acknowledged_frames < unacknowledged:
            self._pending = (acknowledged + 1) & _MASK
            self._pending_since_s = now_s
            self._is_stale = False
        elif _is_late(now_s, self._pending_since_s):
            self._is_stale = True


def _is_late(now_s: float, since_s: float | None) -> bool:
    return since_s is not None and now_s - since_s > REDIAL_AFTER_S
