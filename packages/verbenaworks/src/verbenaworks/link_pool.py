"""What the choice of a target needs from the links between regions."""

from typing import Protocol

from verbenaworks.choice_result import Why
from verbenaworks.link_hold import LinkHold


class LinkPool(Protocol):
    """Links between the instance's region and the others."""

    def why_not(self, service: str, region: str) -> Why | None:
        """Return which link lacks tokens for a usual body, or none."""

    def take(self, service: str, region: str) -> LinkHold | Why:
        """Reserve tokens for the bodies of one attempt."""

    def release(self, hold: LinkHold, *, completed: bool) -> None:
        """Give up what is left; learn the sizes of a completed attempt."""
