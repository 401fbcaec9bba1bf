"""Number of distinct objects that were requested recently."""

import copy

# An object counts for this long after its last request.
RECENT_S = 20.0
# Time between two removals of objects that no longer count.
TRIM_PERIOD_S = 1.0


class RecentObjects:
    """Distinct objects of one service."""

    __slots__ = ("_last_request_s", "_trimmed_s")

    def __init__(self) -> None:
        # In the order of the last requests.
        self._last_request_s: dict[str, float] = {}
        self._trimmed_s = float("-inf")

    def __deepcopy__(self, memo: dict[int, object]) -> "RecentObjects":
        copied = copy.copy(self)
        copied._last_request_s = dict(self._last_request_s)
        memo[id(self)] = copied
        return copied

    def add(self, now_s: float, object_text: str) -> None:
        """Record a request for an object."""
        self._last_request_s.pop(object_text, None)
        self._last_request_s[object_text] = now_s

    def count(self, now_s: float) -> int:
        """Return the number of objects that were requested recently."""
        if now_s - self._trimmed_s >= TRIM_PERIOD_S:
            self._trimmed_s = now_s
            oldest_s = now_s - RECENT_S
            for text, at_s in list(self._last_request_s.items()):
                if at_s >= oldest_s:
                    break
                del self._last_request_s[text]
        return len(self._last_request_s)
