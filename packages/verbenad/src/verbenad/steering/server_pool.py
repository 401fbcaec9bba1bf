"""Connections to backend servers."""

from collections.abc import Callable

from verbenad.receive_windows import ReceiveWindows
from verbenad.upstream_pool import PoolSettings, UpstreamPool

# Timeouts of connections to backend servers. Connecting may take several
# round trips between regions.
CONNECT_TIMEOUT_S = 0.3
# A connection on which the server acknowledges nothing for this long is dead.
PEER_TIMEOUT_S = 1.5
IDLE_TIMEOUT_S = 5.0
# Backend servers may drop idle connections after some tenths of a second. A
# non-idempotent request that is sent on such a connection is lost.
NON_IDEMPOTENT_MAX_IDLE_S = 0.25
# A long body may go on for some tenths of a second after the deadline.
OVERDUE_AFTER_S = 1.0


def open_server_pool(
    now_s: Callable[[], float], receive_windows: ReceiveWindows
) -> UpstreamPool:
    """Return a pool without connections."""
    return UpstreamPool(
        PoolSettings(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
            non_idempotent_max_idle_s=NON_IDEMPOTENT_MAX_IDLE_S,
            peer_timeout_s=PEER_TIMEOUT_S,
            overdue_after_s=OVERDUE_AFTER_S,
        ),
        now_s=now_s,
        receive_windows=receive_windows,
    )
