"""Simulated faults of a backend server stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendFaults:
    """The faults that are active now.

    :ivar draining: refuses new requests as not run and reports that it
        drains.
    :ivar report_lag_s: age of the load that is reported.
    :ivar reported_in_flight: load to report instead of the actual one.
    :ivar reported_healthy: health to report instead of the actual one.
    :ivar silent: connections that are open when this is set get no more
        responses.
    :ivar slow_factor: multiplies the service time.
    :ivar truncate: response bodies are shorter than their Content-Length.
    :ivar unreachable: requests and responses are lost, as in a network
        partition.
    """

    draining: bool = False
    report_lag_s: float = 0.0
    reported_in_flight: int | None = None
    reported_healthy: bool | None = None
    silent: bool = False
    slow_factor: float = 1.0
    truncate: bool = False
    unreachable: bool = False
