"""Services for which requests of several ranks or workspaces compete."""

from verbenaworks.steering.route import Route
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_spec import WorkspaceSpec


def competing_services(config: SteeringConfig) -> frozenset[str]:
    """Return the services with two or more ranks or workspaces."""
    senders: dict[str, set[tuple[int, str]]] = {}
    for route in config.routes:
        for destination in route.destinations:
            if destination.weight > 0:
                senders.setdefault(destination.service, set()).update(
                    _senders(route, config)
                )
    return frozenset(
        service for service, pairs in senders.items() if len(pairs) > 1
    )


def effective_rank(route: Route, workspace: WorkspaceSpec | None) -> int:
    """Return the rank of a workspace's requests on a route."""
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def _senders(route: Route, config: SteeringConfig) -> set[tuple[int, str]]:
    """Return the ranks and workspaces of the requests on a route."""
    if route.public or not config.workspaces:
        return {(route.priority, "")}
    return {
        (effective_rank(route, workspace), name)
        for name, workspace in config.workspaces.items()
    }
