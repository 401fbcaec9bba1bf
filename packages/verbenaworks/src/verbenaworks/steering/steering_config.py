"""The operator's document in the form that is used to match requests."""

from collections.abc import Iterable

from verbenaworks.steering.caller_limits import CallerLimits
from verbenaworks.steering.route import Route
from verbenaworks.steering.service_spec import ServiceSpec
from verbenaworks.steering.workspace_spec import WorkspaceSpec


class SteeringConfig:
    """One version of the operator's document; immutable.

    :param version: grows with each document.
    :param workspaces: empty if requests need no key.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        workspaces: Iterable[WorkspaceSpec] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.workspaces = {w.name: w for w in workspaces}
        self.limits = limits or CallerLimits()
        self._by_key = {
            key: workspace
            for workspace in self.workspaces.values()
            for key in workspace.keys
        }
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        :param host: value of the Host header; case and port are ignored.
        :param path: path without the query.
        """
        routes = self._by_host.get(_host_name(host))
        if routes is None:
            return None
        end = path.rfind("/") + 1
        # Prefixes end with a slash, so only cuts after a slash can match.
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def routes_of(self, host: str) -> tuple[Route, ...]:
        """Return the routes of a host."""
        return tuple(self._by_host.get(_host_name(host), {}).values())

    def needs_key(self, route: Route) -> bool:
        """Whether requests on a route need the key of a workspace."""
        return not route.public and bool(self.workspaces)

    def workspace_of(self, key: str) -> WorkspaceSpec | None:
        """Return the workspace that holds the key."""
        return self._by_key.get(key)


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(":")
    if colon and port.isdecimal():
        host = name
    return host.lower()
