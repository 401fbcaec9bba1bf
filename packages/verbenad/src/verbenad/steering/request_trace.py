"""Collects the contents of a request's log line while it is served."""

from dataclasses import dataclass, field

from verbenad.steering.request_record import AttemptRecord


@dataclass(kw_only=True, slots=True)
class RequestTrace:
    """Figures of one request, which the gateway fills in step by step.

    :ivar charged_at_s: when the request was counted against the rate of its
        workspace; None if it was not.
    :ivar detail: the figures behind a refusal.
    """

    request_id: str
    started_s: float
    deadline_s: float = 0.0
    route: str = ""
    workspace: str = ""
    service: str = ""
    affinity_key: str = ""
    charged_at_s: float | None = None
    detail: str = ""
    attempts: list[AttemptRecord] = field(default_factory=list)
