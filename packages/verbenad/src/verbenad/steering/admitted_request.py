"""A request that was admitted and is being served."""

from dataclasses import dataclass

from verbenad.caller_connection import CallerConnection
from verbenad.request_body import RequestBody
from verbenad.request_head import RequestHead
from verbenaworks.steering.route import Route


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmittedRequest:
    """A request that has passed authentication and its workspace's rate.

    :ivar workspace: empty if the request came without a key.
    :ivar service: service that was chosen from the route's destinations.
    :ivar affinity_key: empty if the route is not sticky or the request has
        no key.
    :ivar deadline_s: time at which the caller stops waiting or the route's
        timeout ends.
    :ivar rank: rank of the workspace, or of the route; 0 is the most urgent.
    :ivar is_returning: whether it was refused for lack of capacity before.
    :ivar digest: identifies the request if it is sent again.
    """

    request_id: str
    route: Route
    service: str
    workspace: str
    affinity_key: str
    home_regions: frozenset[str]
    head: RequestHead
    body: RequestBody
    caller: CallerConnection
    started_s: float
    deadline_s: float
    digest: str
    config_version: int
    rank: int
    is_returning: bool
