"""What entry instances tell one another several times a second."""

import msgspec

from verbenaworks.steering.workspace_usage import WorkspaceUsage
from verbenaworks.wire import wire_message


@wire_message
class PeerReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """State of one instance.

    :ivar usable: whether it can serve requests that carry keys.
    :ivar in_flight: its unanswered requests, by a short hash of the server.
    :ivar stated: loads that servers have stated since the last report.
    :ivar usage: use of the workspaces' rates.
    :ivar crashes: recent crashes as pairs of request digest and crash id.
    """

    name: str
    incarnation: int
    number: int
    usable: bool
    leaving: bool
    in_flight: dict[int, int]
    stated: dict[int, int]
    usage: dict[str, WorkspaceUsage]
    crashes: tuple[tuple[str, str], ...]
