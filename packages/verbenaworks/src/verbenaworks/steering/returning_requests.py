"""Recognizes requests that were refused and are sent again."""

from collections import deque
from dataclasses import dataclass

# Refusals that are remembered. Under a higher load, the oldest are forgotten.
MAX_REFUSALS = 4096
# The same for equal requests, which are compared one by one.
MAX_EQUAL_REFUSALS = 64
# The longest deadline of a route is that of the last one to two windows.
DEADLINE_WINDOW_S = 5.0
# A deadline below this share of the longest one was shortened by a first
# attempt. Callers return after a tenth to a third of their time.
SHORTENED_SHARE = 0.92
# Callers may round the pause down.
EARLIEST_RETURN_SHARE = 0.9


@dataclass(frozen=True, kw_only=True, slots=True)
class _Refusal:
    digest: str
    earliest_s: float
    deadline_s: float


@dataclass(kw_only=True, slots=True)
class _LongestDeadline:
    """Longest stated deadline in the current and the previous window."""

    since_s: float
    current_s: float = 0.0
    previous_s: float = 0.0

    def update(self, now_s: float, stated_s: float) -> float:
        """Record a deadline and return the longest one."""
        elapsed_s = now_s - self.since_s
        if elapsed_s >= DEADLINE_WINDOW_S:
            is_recent = elapsed_s < 2 * DEADLINE_WINDOW_S
            self.previous_s = self.current_s if is_recent else 0.0
            self.current_s = 0.0
            self.since_s = now_s
        self.current_s = max(self.current_s, stated_s)
        return max(self.current_s, self.previous_s)


class ReturningRequests:
    """Recent refusals by this instance, and stated deadlines."""

    def __init__(self) -> None:
        self._refusals: deque[_Refusal] = deque()
        self._by_digest: dict[str, list[_Refusal]] = {}
        self._longest: dict[str, _LongestDeadline] = {}

    def record_refusal(
        self,
        now_s: float,
        digest: str,
        *,
        retry_after_s: float,
        deadline_s: float,
    ) -> None:
        """Record a request that was refused for lack of capacity.

        :param digest: identifies the request if it is sent again.
        :param deadline_s: when its caller stops waiting.
        """
        refusal = _Refusal(
            digest=digest,
            earliest_s=now_s + EARLIEST_RETURN_SHARE * retry_after_s,
            deadline_s=deadline_s,
        )
        equal = self._by_digest.setdefault(digest, [])
        if len(equal) < MAX_EQUAL_REFUSALS:
            self._refusals.append(refusal)
            equal.append(refusal)
        while self._refusals and (
            len(self._refusals) > MAX_REFUSALS
            or self._refusals[0].deadline_s < now_s
        ):
            self._forget(self._refusals.popleft())

    def is_returning(
        self, now_s: float, digest: str, route: str, stated_s: float | None
    ) -> bool:
        """Whether a request was refused before, here or elsewhere.

        A refusal explains one request: other callers may send equal ones.

        :param stated_s: time that the caller says it will wait; none if it
            does not say.
        """
        is_shortened = stated_s is not None and (
            stated_s
            < SHORTENED_SHARE * self._longest_s(now_s, route, stated_s)
        )
        for refusal in self._by_digest.get(digest, ()):
            if refusal.earliest_s <= now_s <= refusal.deadline_s:
                self._forget(refusal)
                return True
        return is_shortened

    def _longest_s(self, now_s: float, route: str, stated_s: float) -> float:
        longest = self._longest.setdefault(
            route, _LongestDeadline(since_s=now_s)
        )
        return longest.update(now_s, stated_s)

    def _forget(self, refusal: _Refusal) -> None:
        refusals = self._by_digest.get(refusal.digest, [])
        # Equal refusals are interchangeable.
        if refusal in refusals:
            refusals.remove(refusal)
        if not refusals:
            self._by_digest.pop(refusal.digest, None)
