"""Messages that instances send to each other."""

import msgspec

from verbenaworks.steering.workspace_usage import WorkspaceUsage
from verbenaworks.wire import wire_message


@wire_message
class PeerBeat(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Heartbeat of one instance.

    :ivar number: grows with each message of the incarnation.
    :ivar usable: whether it can serve requests that carry keys.
    :ivar leaving: whether it is shutting down.
    :ivar active: whether it serves requests.
    :ivar load: capacity that its requests use.
    :ivar config_version: version of its configuration; 0 if it has none.
    """

    name: str
    incarnation: int
    number: int
    usable: bool
    leaving: bool
    active: bool
    load: float
    config_version: int = 0


@wire_message
class PeerReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """State of one instance that serves requests.

    :ivar in_flight: its requests in flight, by a short hash of the server.
    :ivar usage: use of the workspaces' rates.
    :ivar crashes: recent crashes as pairs of request digest and crash id.
    :ivar missing: active instances that it cannot reach.
    :ivar bound: those of its requests in flight that may not run in every
        region, by a short hash of the server.
    :ivar shares: share of requests in thousandths, by short hashes of the
        service and the region; only in reports that are complete.
    :ivar limits: what servers have said of their limits to the sender: the
        limit in thousandths per second, or -1 if it has ended, and its age in
        milliseconds, by a short hash of the server's incarnation.
    :ivar leaving: short hashes of the incarnations that have said lately that
        they are leaving.
    :ivar demand: arrivals per second in hundredths, by short hashes of the
        service and of the workspace; only for services that are short of
        capacity or were lately.
    :ivar capacity: learned capacity of servers by a short hash of their
        incarnation: usable slots in tenths, time per request in hundredths of
        the usual one and the number of samples; only in reports that are
        complete, and only if it differs from the configured one.
    """

    beat: PeerBeat
    in_flight: dict[int, int]
    usage: dict[str, WorkspaceUsage]
    crashes: tuple[tuple[str, str], ...]
    missing: tuple[str, ...]
    bound: dict[int, int] = {}
    shares: dict[int, dict[int, int]] = {}
    limits: dict[int, tuple[int, int]] = {}
    leaving: tuple[int, ...] = ()
    demand: dict[int, dict[int, int]] = {}
    capacity: dict[int, tuple[int, int, int]] = {}
