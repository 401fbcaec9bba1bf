"""A request that may run, while it is being served."""

from dataclasses import dataclass

from verbenad.caller_connection import CallerConnection
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenaworks.steering.route import Route


@dataclass(frozen=True, kw_only=True, slots=True)
class SteeredCall:
    """A request that has passed authentication and its workspace's rate.

    :ivar workspace: empty if the request came without a key.
    :ivar service: the part of the route that the request goes to.
    :ivar thing: object of the request; empty if servers keep no objects.
    :ivar until_s: time at which the caller or the operator gives up.
    :ivar digest: recognises the request when it is sent again.
    """

    request_id: str
    route: Route
    service: str
    workspace: str
    thing: str
    home_regions: frozenset[str]
    head: RequestHead
    body: RequestBody
    caller: CallerConnection
    started_s: float
    until_s: float
    digest: str
    config_version: int
