"""A caller's request while it is being served."""

from dataclasses import dataclass

from verbenad.caller_connection import CallerConnection
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenaworks.compiled_config import RequestPolicy, ServiceConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A request that has passed authentication.

    :ivar workspace: name of the caller's workspace; empty on open routes.
    :ivar target: path and query for the backend server.
    :ivar deadline_s: monotonic time by which the response must have begun.
    :ivar idempotent: whether the request may run more than once.
    :ivar config_revision: configuration revision that applies to the request.
    """

    request_id: str
    service: ServiceConfig
    workspace: str
    policy: RequestPolicy
    head: RequestHead
    target: str
    body: RequestBody
    caller: CallerConnection
    started_s: float
    deadline_s: float
    idempotent: bool
    config_revision: int
