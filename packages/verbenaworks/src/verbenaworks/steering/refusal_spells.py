"""For how long each rank has been refused."""

# A rank without a refusal for this time has capacity again.
MAX_GAP_S = 1.0


class RefusalSpells:
    """Spells of refusals of one service, by rank."""

    def __init__(self) -> None:
        self._spells: dict[int, tuple[float, float]] = {}

    def record_refusal(self, now_s: float, rank: int) -> None:
        """Record the refusal of a request."""
        started_s, last_s = self._spells.get(rank, (now_s, now_s))
        if now_s - last_s > MAX_GAP_S:
            started_s = now_s
        self._spells[rank] = (started_s, now_s)

    def lasted_s(self, now_s: float, rank: int) -> float:
        """Return for how long a rank has been refused; 0 if it is not."""
        started_s, last_s = self._spells.get(rank, (now_s, now_s))
        if now_s - last_s > MAX_GAP_S:
            return 0.0
        return max(0.0, now_s - started_s)
