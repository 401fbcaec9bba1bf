"""Decides when the connection to a peer must be opened anew.

An open connection can go silent while new ones work. Frames to a peer are
numbered, and each frame from it names the last number that it received, so
a silent connection is found even while the peer's own frames arrive.
"""

# Frames without a sign of arrival for this long mean a silent connection.
REDIAL_AFTER_S = 2.0
# Frames carry numbers of 16 bits; far fewer are sent within REDIAL_AFTER_S.
_MASK = 0xFFFF


class PeerConnection:
    """Frames exchanged with one peer.

    :param first_number: number of the first frame; random, because a peer
        may still know the numbers of an earlier process.
    """

    def __init__(self, first_number: int) -> None:
        self._sent = (first_number - 1) & _MASK
        self._received = 0
        # The oldest frame that the peer has not acknowledged.
        self._pending = first_number & _MASK
        self._pending_since_s: float | None = None
        # The oldest message that asks the peer for something, if nothing
        # was heard since.
        self._asked_since_s: float | None = None
        self._is_stale = False

    @property
    def received(self) -> int:
        """The number of the last frame that arrived, for the next frame."""
        return self._received

    def needs_redial(self, now_s: float) -> bool:
        """Return whether the next frame needs a new connection.

        A peer that has no reason to send acknowledges nothing. Answers
        without an acknowledgement are therefore no sign by themselves.
        """
        return self._is_stale or _is_late(now_s, self._asked_since_s)

    def redialed(self) -> None:
        """Take note of a new connection."""
        self._pending_since_s = None
        self._asked_since_s = None
        self._is_stale = False

    def number(self, now_s: float, *, is_answer: bool) -> int:
        """Return the number of the next frame, which is sent now."""
        self._sent = (self._sent + 1) & _MASK
        if self._pending_since_s is None:
            self._pending = self._sent
            self._pending_since_s = now_s
        if not is_answer and self._asked_since_s is None:
            self._asked_since_s = now_s
        return self._sent

    def heard(self, now_s: float, number: int, acknowledged: int) -> None:
        """Take note of a frame from the peer."""
        self._received = number & _MASK
        self._asked_since_s = None
        if self._pending_since_s is None:
            return
        unacknowledged = (self._sent - self._pending) & _MASK
        newly = (acknowledged - self._pending) & _MASK
        if newly == unacknowledged:
            self._pending_since_s = None
            self._is_stale = False
        elif newly < unacknowledged:
            self._pending = (acknowledged + 1) & _MASK
            self._pending_since_s = now_s
            self._is_stale = False
        elif _is_late(now_s, self._pending_since_s):
            self._is_stale = True


def _is_late(now_s: float, since_s: float | None) -> bool:
    return since_s is not None and now_s - since_s > REDIAL_AFTER_S
