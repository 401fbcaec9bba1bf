"""Tokens reserved for one attempt on the links to another region."""

from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class BodyReservation:
    """Reservation for one body of an attempt on one link.

    :ivar reserved_bytes: reserved bytes that are not charged yet.
    :ivar charged_bytes: bytes of the body that have been charged.
    """

    reserved_bytes: int = 0
    charged_bytes: int = 0


@dataclass(kw_only=True, slots=True)
class LinkReservation:
    """Bytes reserved on the links to and from a region for one attempt.

    :ivar waited_s: how long the bodies waited for tokens.
    """

    service: str
    region: str
    request: BodyReservation = field(default_factory=BodyReservation)
    answer: BodyReservation = field(default_factory=BodyReservation)
    waited_s: float = 0.0
