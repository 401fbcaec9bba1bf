"""The two existing deployments, with their sizes and network delays."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSize:
    """Number and capacity of the targets of one service.

    :ivar targets: number of targets.
    :ivar slots: requests that a target runs at the same time.
    :ivar is_idempotent: whether requests may be retried after a run.
    :ivar service_s: service time of a request.
    """

    name: str
    targets: int
    slots: int
    is_idempotent: bool
    service_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """One deployment.

    :ivar failure_domains: name and region of each failure domain.
    :ivar domain_delay_s: one-way delay between failure domains of a region.
    :ivar region_delay_s: one-way delay between regions.
    :ivar client_delay_s: one-way delay between callers and instances.
    :ivar link_bytes_per_s: rate between two regions in each direction, which
        all connections share.
    :ivar instances: number of entry instances.
    """

    name: str
    failure_domains: tuple[tuple[str, str], ...]
    services: tuple[ServiceSize, ...]
    domain_delay_s: float
    region_delay_s: float
    client_delay_s: float
    connections_per_target: int
    link_bytes_per_s: float = 500e6
    instances: int = 11


def _domains(*regions: str) -> tuple[tuple[str, str], ...]:
    return tuple((f"{name}-{i}", name) for name in regions for i in (1, 2))


def _service(
    name: str,
    targets: int,
    slots: int,
    service_ms: float,
    is_idempotent: bool = True,
) -> ServiceSize:
    return ServiceSize(
        name=name,
        targets=targets,
        slots=slots,
        is_idempotent=is_idempotent,
        service_s=service_ms / 1000,
    )


MATUNDA = Deployment(
    name="matunda",
    failure_domains=_domains("nairobi", "mombasa", "kisumu"),
    services=(
        _service("catalogue", 16, 6, 5),
        _service("orders", 12, 5, 20, is_idempotent=False),
        _service("uploads", 12, 3, 50),
        _service("schedules", 12, 3, 5),
    ),
    domain_delay_s=0.0015,
    region_delay_s=0.012,
    client_delay_s=0.001,
    connections_per_target=360,
)

TOILE = Deployment(
    name="toile",
    failure_domains=_domains("flanders", "wallonia", "brussels"),
    services=(
        _service("stock", 18, 9, 5),
        _service("orders", 12, 7, 20, is_idempotent=False),
        _service("proofs", 12, 3, 50),
        _service("prices", 12, 3, 5),
    ),
    domain_delay_s=0.0005,
    region_delay_s=0.020,
    client_delay_s=0.008,
    connections_per_target=400,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (MATUNDA, TOILE)}
