"""How long the configuration that an instance holds may be trusted."""

# The store may deliver changes to a waiting watch this much late when it
# drops its history.
WATCH_LAG_S = 1.0
# Covers the time from the decision to the arrival at the backend server.
DECISION_SLACK_S = 0.3


class ConfigFreshness:
    """Age of the last proof that no newer configuration is in force.

    Times come from a clock that also counts while the machine is suspended.

    :param revoke_s: bound within which a withdrawn key must stop working.
    """

    def __init__(self, revoke_s: float) -> None:
        self._confirmed_at_s: float | None = None
        self.set_revocation_time(revoke_s)

    def set_revocation_time(self, revoke_s: float) -> None:
        """Change the bound."""
        self.max_age_s = max(0.5, revoke_s - WATCH_LAG_S - DECISION_SLACK_S)

    def confirm(self, at_s: float) -> None:
        """Enter a time at which nothing newer was in force."""
        held = self._confirmed_at_s
        if held is None or at_s > held:
            self._confirmed_at_s = at_s

    def age_s(self, now_s: float) -> float:
        """Return the age of the last proof; infinite if there is none."""
        if self._confirmed_at_s is None:
            return float("inf")
        return now_s - self._confirmed_at_s

    def is_valid(self, now_s: float) -> bool:
        """Whether keys may be accepted now."""
        return self.age_s(now_s) <= self.max_age_s
