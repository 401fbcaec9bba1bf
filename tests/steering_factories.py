"""Factories of test data for the tests of steering decisions."""

from random import Random
from typing import Any

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.route import RequestKind, Route, RouteDestination
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_pauses import ServerPauses
from verbenaworks.steering.server_senders import ServerSenders
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import ServiceTimes
from verbenaworks.steering.workspace_spec import WorkspaceSpec

ALL_REGIONS: frozenset[str] = frozenset()


def server(server_id: str, **fields: Any) -> BackendServer:
    """Return a backend server of the service ``stock``."""
    defaults = {
        "service": "stock",
        "address": ("127.0.0.1", 80),
        "failure_domain": "north-a",
        "region": "north",
        "slots": 4,
        "draining": False,
        "cold_left_s": 0.0,
        "sequence": 1,
        "started_at_ms": 1000,
    }
    return BackendServer(server_id=server_id, **(defaults | fields))


def route(name: str = "browse", **fields: Any) -> Route:
    """Return an idempotent route to ``stock``."""
    defaults = {
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": RequestKind.IDEMPOTENT,
        "timeout_s": 1.5,
        "latency_objective_s": 0.4,
        "priority": 1,
        "destinations": (RouteDestination(service="stock", weight=1.0),),
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "home_regions": ALL_REGIONS,
    }
    return Route(name=name, **(defaults | fields))


def workspace(
    name: str, rate_per_s: float = 0.0, burst: float = 0.0, **fields: Any
) -> WorkspaceSpec:
    """Return a workspace with one key that is its name."""
    defaults = {
        "keys": frozenset({name}),
        "priority": None,
        "home_regions": ALL_REGIONS,
    }
    return WorkspaceSpec(
        name=name, rate_per_s=rate_per_s, burst=burst, **(defaults | fields)
    )


def instance(name: str, region: str = "north") -> InstanceRecord:
    """Return a registered instance."""
    return InstanceRecord(
        name=name,
        incarnation=1,
        region=region,
        failure_domain=f"{region}-a",
        caller_address=f"{name}:80",
        peer_address=f"{name}:81",
        capacity=1.0,
    )


def placement(
    table: ServerTable,
    seed: int = 1,
    limits: ServerLimits | None = None,
    pauses: ServerPauses | None = None,
    **switches: bool,
) -> Placement:
    """Return the placement of an instance in ``north-a``."""
    senders = ServerSenders("one", "north")
    return Placement(
        region="north",
        failure_domain="north-a",
        table=table,
        times=ServiceTimes(),
        cold_start_limiter=ColdStartLimiter(senders),
        limits=limits or ServerLimits(senders=senders),
        pauses=pauses or ServerPauses(),
        random=Random(seed),
        **switches,
    )
