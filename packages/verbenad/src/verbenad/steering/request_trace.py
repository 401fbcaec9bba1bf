"""What is known about a request while it is being served, for its log line."""

from dataclasses import dataclass, field

from verbenad.steering.request_record import AttemptRecord


@dataclass(kw_only=True, slots=True)
class RequestTrace:
    """Filled in as the request goes through the gateway.

    :ivar rate_taken: whether the request counts against its workspace.
    :ivar detail: the figures behind a refusal.
    """

    request_id: str
    started_s: float
    until_s: float = 0.0
    route: str = ""
    workspace: str = ""
    service: str = ""
    rate_taken: bool = False
    detail: str = ""
    attempts: list[AttemptRecord] = field(default_factory=list)
