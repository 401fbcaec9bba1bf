"""What an instance reports about one workspace."""

import msgspec


class WorkspaceUsage(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Use of one workspace's rate at one instance.

    :ivar total: requests accepted since the instance started, less those
        that did not run.
    :ivar count: those of them that lie in the window.
    :ivar debt: what an earlier run of the instance may have used.
    :ivar demand_per_s: requests per second that arrive, accepted or not.
    """

    total: int
    count: int
    debt: float
    demand_per_s: float
