"""What a choice of server depends on, and what it returns."""

from dataclasses import dataclass
from enum import Enum, auto

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.route import Route


class RefusalReason(Enum):
    """Why no server was chosen."""

    NO_SERVER = auto()
    OVERLOADED = auto()
    COLD_START_LIMIT = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """What the choice depends on.

    :param affinity_key: object of the request; empty if it has none.
    :param time_left_s: time until the caller stops waiting.
    :param home_regions: regions in which it may run; empty for all.
    :param tried_servers: servers that have had this request.
    :param body_bytes: size of its body, as far as it is known.
    """

    route: Route
    service: str
    affinity_key: str
    time_left_s: float
    home_regions: frozenset[str]
    tried_servers: frozenset[str] = frozenset()
    body_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """A chosen server.

    :ivar expected_s: time without waiting that was assumed.
    :ivar wait_s: time for which it is expected to wait for a slot.
    :ivar predicted_s: predicted time to the answer.
    :ivar cached: whether the server certainly knows the object.
    :ivar rank: place of the server in the object's order; none without an
        object.
    """

    server: BackendServer
    expected_s: float
    wait_s: float
    predicted_s: float
    cached: bool
    rank: int | None
    load: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRefused:
    """No server was chosen.

    :ivar retry_after_s: when a retry may find room.
    """

    reason: RefusalReason
    retry_after_s: float
    predicted_s: float | None = None
