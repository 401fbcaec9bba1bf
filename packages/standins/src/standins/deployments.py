"""The two deployments of today, with their sizes and delays."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSize:
    """Targets of one service.

    :ivar is_idempotent: whether requests may be repeated.
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
    :ivar link_bytes_per_s: shared rate between two regions, each way.
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
    name: str, targets: int, slots: int, ms: float, safe: bool = True
) -> ServiceSize:
    return ServiceSize(
        name=name,
        targets=targets,
        slots=slots,
        is_idempotent=safe,
        service_s=ms / 1000,
    )


MATUNDA = Deployment(
    name="matunda",
    failure_domains=_domains("nairobi", "mombasa", "kisumu"),
    services=(
        _service("catalogue", 16, 6, 5),
        _service("orders", 12, 5, 20, safe=False),
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
        _service("orders", 12, 7, 20, safe=False),
        _service("proofs", 12, 3, 50),
        _service("prices", 12, 3, 5),
    ),
    domain_delay_s=0.0005,
    region_delay_s=0.020,
    client_delay_s=0.008,
    connections_per_target=400,
)

DEPLOYMENTS = {d.name: d for d in (MATUNDA, TOILE)}
