"""What an instance reports about one workspace."""

import msgspec


class WorkspaceUsage(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Use of one workspace's rate at one instance.

    :ivar count: requests accepted in the window.
    :ivar demand_per_s: requests per second that arrive, accepted or not.
    :ivar credit: requests that it may still accept on what it knows.
    """

    count: float
    demand_per_s: float
    credit: float
