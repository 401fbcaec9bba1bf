"""Use of a workspace's rate, as instances report it."""

import msgspec


class WorkspaceUsage(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """Use of one workspace's rate at one instance.

    :ivar total: requests accepted since the instance started, less those
        that did not run.
    :ivar count: those of them that are in the window.
    :ivar debt: requests in the window that the previous incarnation of the
        instance may have accepted.
    :ivar unlisted: requests in the window that instances on standby have
        accepted after asking this instance.
    :ivar demand_per_s: requests per second that arrive, accepted or not.
    """

    total: int
    count: int
    debt: float
    demand_per_s: float
    unlisted: float = 0.0


def short_number(value: float) -> float:
    """Return an equal number that needs few bytes in a report.

    A whole number takes one to five bytes as an integer, and nine otherwise.
    """
    return int(value) if float(value).is_integer() else value
