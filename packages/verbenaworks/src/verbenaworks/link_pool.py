"""What the choice of targets uses of the links between regions."""

from typing import Protocol

from verbenaworks.choice_result import ExclusionReason
from verbenaworks.link_reservation import LinkReservation


class LinkPool(Protocol):
    """Links between the instance's region and the others."""

    def exclusion_reason(
        self, service: str, region: str
    ) -> ExclusionReason | None:
        """Return which link lacks tokens for a usual body, or ``None``."""

    def take(
        self, service: str, region: str
    ) -> LinkReservation | ExclusionReason:
        """Reserve tokens for the bodies of one attempt."""

    def release(
        self, reservation: LinkReservation, *, completed: bool
    ) -> None:
        """Release a reservation; record the body sizes if completed."""
