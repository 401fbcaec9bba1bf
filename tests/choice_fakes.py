"""Fakes for the tests of the choice of targets."""

from collections import Counter
from random import Random

from verbenaworks.choice_result import ChoiceRequest, ExclusionReason
from verbenaworks.link_reservation import LinkReservation
from verbenaworks.target import TargetInfo
from verbenaworks.target_choice import TargetChoice
from verbenaworks.targets_by_distance import Location


class FakeUnits:
    """Units that the test grants."""

    def __init__(self, default: int = 0, **granted: int) -> None:
        self.default = default
        self.granted = dict(granted)
        self.used: Counter[str] = Counter()
        self.wants: dict[tuple[str, str], int] = {}

    def available(self, target: str) -> int:
        """Return the granted units that are not in use."""
        return self.granted.get(target, self.default) - self.used[target]

    def take(self, target: str, workspace: str) -> bool:
        """Acquire one unit."""
        if self.available(target) < 1:
            return False
        self.used[target] += 1
        return True

    def release(self, target: str, workspace: str) -> None:
        """Release one unit."""
        assert self.used[target] > 0
        self.used[target] -= 1

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Record the newest demand."""
        self.wants[service, workspace] = amount


class FakeLinks:
    """Links with tokens for the number of bodies that the test grants."""

    def __init__(self, out: int, back: int = 1000) -> None:
        self.out = out
        self.back = back
        self.reservations: list[LinkReservation] = []

    def exclusion_reason(
        self, service: str, region: str
    ) -> ExclusionReason | None:
        """Return the direction that lacks tokens."""
        if len(self.reservations) >= self.out:
            return ExclusionReason.LINK_FULL
        if len(self.reservations) >= self.back:
            return ExclusionReason.LINK_BACK_FULL
        return None

    def take(
        self, service: str, region: str
    ) -> LinkReservation | ExclusionReason:
        """Reserve tokens for one body."""
        reason = self.exclusion_reason(service, region)
        if reason is not None:
            return reason
        reservation = LinkReservation(service=service, region=region)
        self.reservations.append(reservation)
        return reservation

    def release(
        self, reservation: LinkReservation, *, completed: bool
    ) -> None:
        """Release the reservation."""
        self.reservations.remove(reservation)


PLACE = Location(
    instance="i0",
    region="nairobi",
    failure_domain="nairobi-a",
    domain_delay_s=0.0015,
    region_delay_s=0.012,
)


def target(
    name: str,
    region: str = "nairobi",
    failure_domain: str | None = None,
    *,
    slots: int = 4,
    draining: bool = False,
) -> TargetInfo:
    """Return a target of the service ``stock``."""
    return TargetInfo(
        name=name,
        service="stock",
        address="127.0.0.1:1",
        region=region,
        failure_domain=failure_domain or f"{region}-a",
        slots=slots,
        connections=360,
        draining=draining,
    )


def request(
    number: int = 0,
    workspace: str = "w",
    *,
    deadline_s: float = 1e9,
    tried: frozenset[str] = frozenset(),
) -> ChoiceRequest:
    """Return a request for the service ``stock``."""
    return ChoiceRequest(
        request_id=f"{workspace}-{number}",
        service="stock",
        workspace=workspace,
        deadline_s=deadline_s,
        tried=tried,
    )


def chooser(
    units: FakeUnits,
    regions: FakeUnits | None = None,
    links: FakeLinks | None = None,
) -> TargetChoice:
    """Return a choice at :data:`PLACE` with a fixed seed."""
    return TargetChoice(
        place=PLACE,
        units=units,
        region_units=regions or FakeUnits(1000),
        links=links,
        random=Random(7),
    )
