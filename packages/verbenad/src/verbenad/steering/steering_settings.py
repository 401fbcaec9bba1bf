"""Process settings of an entry instance on a platform."""

from collections.abc import Mapping
from dataclasses import dataclass

from verbenaworks.errors import SettingError

_REMEDY = "correct the settings file and start the process again"


@dataclass(frozen=True, kw_only=True, slots=True)
class SteeringBounds:
    """Bounds that the operator sets.

    :param revoke_s: time within which a withdrawn key must stop working.
    :param retry_ratio: retries per request, over the fleet.
    :param retry_slack: retries per window beyond the ratio, over the fleet.
    :param retry_window_s: window in which retries are counted.
    :param rate_window_s: window in which a workspace's requests are counted.
    :param shutdown_s: time from the stop signal until the process is killed.
    :param lookup_ttl_s: longest time that callers may cache a lookup response.
    """

    revoke_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    rate_window_s: float
    shutdown_s: float
    lookup_ttl_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SteeringFeatures:
    """Switches of components, so that each can be measured on and off.

    :param rank_admission: whether a service that is short of capacity admits
        requests by rank and share.
    :param learned_capacity: whether the usable slots and the speed of servers
        are learned.
    :param machine_speed: whether the speed that servers state is used.
    """

    rank_admission: bool = True
    learned_capacity: bool = True
    machine_speed: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class SteeringSettings:
    """Checked settings.

    :param regions: region of each failure domain.
    :param peer_address: where other instances send datagrams.
    :param processor_share: share of a core that the process may use, times
        the speed of the core.
    :param link_mbps: bandwidth of the machine's link; 0 if not known.
    :param max_descriptors: most file descriptors that the process may open.
    :param memory_mb: memory of the machine; 0 if not known.
    """

    name: str
    region: str
    failure_domain: str
    regions: Mapping[str, str]
    caller_address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    metrics_address: str
    processor_share: float
    link_mbps: float
    max_descriptors: int
    memory_mb: float = 0.0
    bounds: SteeringBounds
    features: SteeringFeatures = SteeringFeatures()

    def __post_init__(self) -> None:
        """Check the values.

        :raises SettingError: if a value is not valid.
        """
        for name in (
            "caller_address",
            "ready_address",
            "lookup_address",
            "peer_address",
            "metrics_address",
        ):
            parse_address(name, getattr(self, name))
        if self.failure_domain not in self.regions:
            raise SettingError(
                f"failure_domain {self.failure_domain!r} has no region",
                _REMEDY,
            )
        if self.bounds.revoke_s <= 0:
            raise SettingError("revoke_s must be positive", _REMEDY)


def parse_address(name: str, address: str) -> tuple[str, int]:
    """Split an address into IP address and port.

    :param name: name of the setting, for the error message.
    :raises SettingError: if the address is not ``IP:port``.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise SettingError(
            f"{name} is {address!r}, which is not IP:port", _REMEDY
        )
    return host, int(port)
