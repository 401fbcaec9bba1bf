"""Input and result of the choice of a backend server."""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto

from verbenaworks.steering.admission_class import AdmissionClass
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.route import Route


class RefusalReason(Enum):
    """Reason for the refusal of a request."""

    NO_SERVER = auto()
    OVERLOADED = auto()
    COLD_START_LIMIT = auto()
    SERVER_LIMIT = auto()
    SERVER_PAUSED = auto()


class ChoiceReason(StrEnum):
    """Reason for the choice of a server, for the log.

    :cvar PREFERRED: the first server of the object's order, or any server for
        a request without an affinity key.
    :cvar SHORTER_WAIT: another server is predicted to respond sooner.
    :cvar OVERFLOW: the same, in another region than the request's own.
    :cvar SPARE: an idle server instead of a refusal.
    :cvar JOINED: the first request to a server that has just joined, or one
        that shows whether a server's limit still holds.
    """

    PREFERRED = auto()
    SHORTER_WAIT = auto()
    OVERFLOW = auto()
    SPARE = auto()
    JOINED = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """Properties of a request that its placement depends on.

    :param affinity_key: key that sticky requests share; empty if none.
    :param time_left_s: time until the caller stops waiting.
    :param home_regions: regions in which it may run; empty for all.
    :param tried_servers: servers that this request was sent to already.
    :param full_servers: those of them that were too busy to run it.
    :param body_bytes: size of its body, as far as it is known.
    :param rank: rank in a shortage; 0 is the most urgent.
    :param workspace: workspace that sent it; empty if it has no key.
    :param is_returning: whether it was refused before and is sent again.
    :param admission: its class in a shortage, which the placement sets.
    """

    route: Route
    service: str
    affinity_key: str
    time_left_s: float
    home_regions: frozenset[str]
    tried_servers: frozenset[str] = frozenset()
    full_servers: frozenset[str] = frozenset()
    body_bytes: int = 0
    rank: int = 0
    workspace: str = ""
    is_returning: bool = False
    admission: AdmissionClass | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """A chosen server.

    :ivar expected_s: expected service time, without waiting for a slot.
    :ivar wait_s: expected waiting time for a slot.
    :ivar predicted_s: predicted time to the response.
    :ivar cached: whether the server should have the object's data cached.
    :ivar objects_since: other objects that this instance has requested of the
        server since the last request for this one; none if it did not request
        this one recently.
    :ivar rank: rank of the server in the object's order; none without an
        affinity key.
    :ivar restricted_home: the object's home, if it would be the first choice
        but has a limit or a pause.
    :ivar time_factor: learned time per request at the server; 1 is usual.
    :ivar load_cost_s: what more the request is expected to take because the
        object's data may not be cached.
    :ivar cold: whether the server was in its cold start.
    :ivar machine_delay_s: expected addition to the predicted time, because
        the server's machine has stated that work takes longer there.
    :ivar machine_speed_age_s: age of that statement; none if it is not used.
    """

    server: BackendServer
    expected_s: float
    wait_s: float
    predicted_s: float
    cached: bool
    rank: int | None
    load: float
    objects_since: int | None = None
    reason: ChoiceReason = ChoiceReason.PREFERRED
    restricted_home: BackendServer | None = None
    time_factor: float = 1.0
    load_cost_s: float = 0.0
    cold: bool = False
    machine_delay_s: float = 0.0
    machine_speed_age_s: float | None = None

    @property
    def current_s(self) -> float:
        """Predicted time at the current speed of the server's machine."""
        return self.predicted_s + self.machine_delay_s

    @property
    def machine_speed_age_ms(self) -> int | None:
        """Age of the used statement in whole milliseconds."""
        age_s = self.machine_speed_age_s
        return None if age_s is None else int(age_s * 1000)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRefused:
    """No server was chosen.

    :ivar retry_after_s: pause after which a retry may succeed.
    :ivar detail: class and limit behind the refusal, for the log.
    """

    reason: RefusalReason
    retry_after_s: float
    predicted_s: float | None = None
    detail: str = ""

    def describe(self) -> str:
        """Return the figures behind the refusal for the log."""
        text = (
            f"{self.reason.name.lower()}, next in {self.retry_after_s:.2f} s"
        )
        return f"{text}; {self.detail}" if self.detail else text
