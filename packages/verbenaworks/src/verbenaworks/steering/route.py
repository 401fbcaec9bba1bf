"""A route from callers to services."""

from dataclasses import dataclass
from enum import Enum, auto


class RequestKind(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = auto()
    NON_IDEMPOTENT = auto()
    UPLOAD = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteDestination:
    """A service that gets a share of a route's requests.

    :param weight: share of the requests, relative to the other destinations.
    """

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Route for the requests of one host and path prefix.

    :param host: lower-case host name without a port.
    :param timeout_s: longest time to keep a caller waiting.
    :param latency_objective_s: time after which a response is late.
    :param priority: rank; 0 is the most urgent.
    :param max_attempts: most backend servers for one request.
    :param public: whether requests need no key.
    :param sticky: whether a server that has the affinity key's data cached is
        faster.
    :param home_regions: regions in which requests may run; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    destinations: tuple[RouteDestination, ...]
    max_attempts: int
    public: bool
    sticky: bool
    home_regions: frozenset[str]

    @property
    def idempotent(self) -> bool:
        """Whether a request may run on a second server."""
        return self.kind is RequestKind.IDEMPOTENT
