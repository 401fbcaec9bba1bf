"""Part of the requests that may run in one region only, from the settings."""

from collections.abc import Iterable

from verbenaworks.steering.workspace_spec import WorkspaceSpec


def bound_parts(workspaces: Iterable[WorkspaceSpec]) -> dict[str, float]:
    """Return the part of all requests that is bound to each region.

    Workspaces are assumed to use their rates to the same degree. Those without
    a limit are left out.

    :returns: parts by region; their sum is at most 1.
    """
    limited = [w for w in workspaces if w.rate_per_s > 0]
    total_per_s = sum(workspace.rate_per_s for workspace in limited)
    parts: dict[str, float] = {}
    for workspace in limited:
        for region in workspace.home_regions:
            part = workspace.rate_per_s / len(workspace.home_regions)
            parts[region] = parts.get(region, 0.0) + part / total_per_s
    return parts
