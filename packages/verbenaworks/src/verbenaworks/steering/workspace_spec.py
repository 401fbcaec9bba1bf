"""Settings of a workspace in the operator's document."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceSpec:
    """A workspace with its keys and its rate.

    :param priority: rank that takes precedence over the route's; none if
        the route decides.
    :param rate_per_s: requests per second over all instances; 0 is no limit.
    :param burst: requests beyond the rate.
    :param home_regions: regions in which its requests may run; empty for
        all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate_per_s: float
    burst: float
    home_regions: frozenset[str]
