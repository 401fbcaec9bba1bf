"""How short of capacity a service is."""

from verbenaworks.steering.overload_detector import OverloadDetector

# A shortage ends when fewer requests than this are late or refused.
END_SHARE = 0.05
# With this share, the level is 1.
FULL_SHARE = 0.4
# Times the level up to which the ranks are not yet fully apart. A mild
# shortage must not refuse low ranks only because no slot is free.
SEPARATION_GAIN = 3.0


class ShortageLevel:
    """Level of one service's shortage from 0, none, to 1.

    It starts with a sustained overload and follows the share of requests that
    are late or refused. The refusals keep waits short, so that the overload
    itself seems to end as soon as they start.
    """

    def __init__(self) -> None:
        self._pressure = OverloadDetector()
        self._is_short = False

    def observe(
        self, now_s: float, *, is_pressed: bool, is_sustained: bool
    ) -> None:
        """Record a request.

        :param is_pressed: whether it is late or was refused.
        :param is_sustained: whether the overload is sustained.
        """
        self._pressure.observe(now_s, is_pressed)
        if is_sustained:
            self._is_short = True
        elif self._pressure.late_share < END_SHARE:
            self._is_short = False

    @property
    def is_short(self) -> bool:
        """Whether there is a shortage."""
        return self._is_short

    @property
    def level(self) -> float:
        """Level of the shortage."""
        if not self._is_short:
            return 0.0
        above = self._pressure.late_share - END_SHARE
        return min(1.0, max(0.0, above / (FULL_SHARE - END_SHARE)))

    @property
    def separation(self) -> float:
        """How far apart the limits of the ranks are, from 0 to 1."""
        return min(1.0, SEPARATION_GAIN * self.level)
