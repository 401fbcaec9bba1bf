"""Regions in which the requests of a route and a workspace may run."""

from verbenaworks.steering.route import Route
from verbenaworks.steering.workspace_spec import WorkspaceSpec


def home_regions(
    route: Route, workspace: WorkspaceSpec | None
) -> frozenset[str]:
    """Return the regions that both allow; empty for all regions."""
    if workspace is None or not workspace.home_regions:
        return route.home_regions
    if not route.home_regions:
        return workspace.home_regions
    # The sets may have no region in common. No region has an empty name, so
    # no server matches then; an empty set would allow all regions.
    return route.home_regions & workspace.home_regions or frozenset({""})
