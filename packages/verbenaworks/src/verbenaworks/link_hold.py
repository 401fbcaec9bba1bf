"""Reservation of one attempt on the links to another region."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class LinkHold:
    """Bytes reserved on the links to and from a region for one attempt.

    :ivar request_bytes: what is left of the reservation for the request's
        body; ``answer_bytes`` likewise.
    :ivar sent_bytes: charged bytes of the request's body;
        ``received_bytes`` of the answer's.
    :ivar waited_s: how long the bodies waited for tokens.
    """

    service: str
    region: str
    request_bytes: int = 0
    answer_bytes: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    waited_s: float = 0.0
