"""How long an instance may use its configuration without confirmation."""

# When the store drops its history, it may deliver changes to a waiting watch
# this much late.
MAX_WATCH_DELAY_S = 1.0
# Time from the decision on a request to its arrival at the backend server.
MAX_DECISION_DELAY_S = 0.3


class ConfigFreshness:
    """Age of the last confirmation that the configuration is current.

    While confirmations are held, they count for the age but not for keys: the
    store may be an older copy of itself.

    Times come from a clock that also runs while the machine is suspended.

    :param revoke_s: time within which a revoked key must stop working.
    """

    def __init__(self, revoke_s: float) -> None:
        self._confirmed_at_s: float | None = None
        self._accepted_at_s: float | None = None
        self._is_held = False
        self.set_revocation_time(revoke_s)

    def set_revocation_time(self, revoke_s: float) -> None:
        """Change the time within which a revoked key must stop working."""
        self.max_age_s = max(
            0.5, revoke_s - MAX_WATCH_DELAY_S - MAX_DECISION_DELAY_S
        )

    def confirm(self, at_s: float) -> None:
        """Record a time at which the configuration was current."""
        latest_s = self._confirmed_at_s
        if latest_s is None or at_s > latest_s:
            self._confirmed_at_s = at_s
        if not self._is_held:
            self._accepted_at_s = self._confirmed_at_s

    def hold(self) -> None:
        """Accept keys no longer than the confirmations so far permit."""
        self._is_held = True

    def release(self) -> None:
        """Accept keys as the confirmations permit."""
        self._is_held = False
        self._accepted_at_s = self._confirmed_at_s

    @property
    def is_held(self) -> bool:
        """Whether confirmations do not count for keys."""
        return self._is_held

    def age_s(self, now_s: float) -> float:
        """Return the age of the last confirmation; infinite without one."""
        if self._confirmed_at_s is None:
            return float("inf")
        return now_s - self._confirmed_at_s

    @property
    def valid_until_s(self) -> float:
        """Time until which keys may be accepted without a confirmation."""
        if self._accepted_at_s is None:
            return float("-inf")
        return self._accepted_at_s + self.max_age_s

    def is_valid(self, now_s: float) -> bool:
        """Whether keys may be accepted now."""
        return now_s <= self.valid_until_s
