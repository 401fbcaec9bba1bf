"""Plan and samples of the load generator."""

import msgspec


class LoadStream(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one workspace for one service from one address.

    :ivar address: address of the caller.
    :ivar rate_per_s: mean rate of the Poisson arrivals.
    :ivar service_ms: service time that the backend server stand-in uses.
    :ivar deadline_ms: deadline of each request, from its sending.
    :ivar is_order: whether requests use POST and an idempotency key.
    """

    workspace: str
    service: str
    address: str
    rate_per_s: float
    service_ms: int
    deadline_ms: int
    is_order: bool = False


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """All streams of one load generator process.

    :ivar instances: caller addresses of entry instances.
    :ivar keys: key of each workspace.
    :ivar duration_s: time during which requests start.
    :ivar seed: seed of arrival times and random choices.
    :ivar targets: target addresses by service; if given, each request goes
        to a random one of them instead of an entry instance.
    """

    instances: tuple[str, ...]
    keys: dict[str, str]
    streams: tuple[LoadStream, ...]
    duration_s: float
    seed: int
    targets: dict[str, tuple[str, ...]] = {}


class LoadSample(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one request.

    :ivar at_s: when it was due, on the machine's monotonic clock.
    :ivar latency_s: time from then to its end, which includes any wait in
        the generator.
    :ivar status: HTTP status, 0 if there was no complete response.
    """

    at_s: float
    latency_s: float
    workspace: str
    service: str
    status: int
    run: str
    code: str
