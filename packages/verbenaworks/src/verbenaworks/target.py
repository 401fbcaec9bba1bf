"""A backend server as the configuration and the instance list describe it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetInfo:
    """One backend server of one service.

    :param name: name of the target, unique in the deployment.
    :param service: name of the service that it serves.
    :param address: IP address and port.
    :param region: region of the target.
    :param failure_domain: failure domain of the target.
    :param slots: most requests that it runs at the same time.
    :param connections: most connections that it accepts from the fleet.
    :param draining: whether an operator has set it to drain.
    """

    name: str
    service: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    draining: bool = False
