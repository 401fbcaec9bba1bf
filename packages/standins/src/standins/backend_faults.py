"""Switchable behaviour of a backend server stand-in."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendFaults:
    """Behaviour in force.

    :ivar draining: refuses new requests as not run and reports it.
    :ivar report_lag_s: age of the state that load and health show.
    :ivar reported_in_flight: load to claim in place of the true one.
    :ivar reported_healthy: health to claim in place of the true one.
    :ivar silent: connections open now get no answer any more.
    :ivar slow_factor: multiplies the service time.
    :ivar truncate: answers end before their stated length.
    :ivar unreachable: requests and answers are lost, as behind a cut.
    """

    draining: bool = False
    report_lag_s: float = 0.0
    reported_in_flight: int | None = None
    reported_healthy: bool | None = None
    silent: bool = False
    slow_factor: float = 1.0
    truncate: bool = False
    unreachable: bool = False
