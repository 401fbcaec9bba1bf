"""What a load generator sends."""

import msgspec


class LoadStream(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one workspace for one service from one address.

    :ivar rate_per_s: mean of the Poisson arrivals.
    :ivar service_ms: service time that the stand-in is asked for.
    :ivar deadline_ms: the caller gives up after this time.
    :ivar is_order: sent with POST and an idempotency key.
    """

    workspace: str
    service: str
    address: str
    rate_per_s: float
    service_ms: int
    deadline_ms: int
    is_order: bool = False


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """All streams of one process.

    :ivar instances: caller addresses of entry instances.
    :ivar keys: key of each workspace.
    :ivar targets: addresses by service; if given, requests go to a random
        one of these in place of an entry instance.
    """

    instances: tuple[str, ...]
    keys: dict[str, str]
    streams: tuple[LoadStream, ...]
    duration_s: float
    seed: int
    targets: dict[str, tuple[str, ...]] = {}


class LoadSample(msgspec.Struct, frozen=True, kw_only=True):
    """The end of one request.

    :ivar at_s: when it was due, on the machine's monotonic clock.
    :ivar latency_s: from then to its end, waits of the generator included.
    :ivar status: HTTP status, 0 if there was no whole answer.
    """

    at_s: float
    latency_s: float
    workspace: str
    service: str
    status: int
    run: str
    code: str
