"""Explains what this instance would do with a request, without sending it."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass

import msgspec

from verbenad.steering.shutdown_plan import ShutdownPlan
from verbenad.steering.steering_settings import SteeringSettings
from verbenad.steering.steering_state import SteeringState
from verbenaworks.errors import VerbenaError
from verbenaworks.steering.admission import Admission
from verbenaworks.steering.competing_services import effective_rank
from verbenaworks.steering.home_regions import home_regions
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_explanation import PlacementExplainer
from verbenaworks.steering.placement_result import PlacementRequest
from verbenaworks.steering.route import Route
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter
from verbenaworks.steering.workspace_spec import WorkspaceSpec

_FIELDS = frozenset({"host", "path", "workspace", "key", "domain"})
# Names that an error message lists at most.
_MAX_NAMES = 20


class ExplainError(VerbenaError):
    """A request can not be explained.

    :param status: status line of the response.
    """

    def __init__(
        self, status: str, code: str, message: str, remedy: str
    ) -> None:
        super().__init__(message, remedy)
        self.status = status
        self.code = code


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestExplanation:
    """What would happen to a request.

    :ivar instance: name of the instance that decides.
    :ivar service: the service; if the route has several destinations, the one
        with the largest weight.
    :ivar rate: decision by the workspace's rate, and the figures behind it.
    :ivar decision: the result; a refusal before the choice of a server, or
        the choice.
    :ivar placement: the choice of a server, if the request gets that far.
    """

    instance: str
    route: str
    service: str
    destinations: Mapping[str, float]
    workspace: str
    config_version: int
    rate: Mapping[str, object]
    decision: Mapping[str, object]
    placement: Mapping[str, object]


class RequestExplainer:
    """Serves explanations; changes nothing.

    :param settings: settings of this instance.
    :param shutdown: returns when the instance stops to take requests.
    :param cold_requests_per_s: returns how many requests per second a server
        of a service can take just after its start.
    """

    def __init__(
        self,
        *,
        settings: SteeringSettings,
        state: SteeringState,
        rate_limiter: WorkspaceRateLimiter,
        placement: Placement,
        shutdown: Callable[[], ShutdownPlan],
        cold_requests_per_s: Callable[[str], float],
        now_s: Callable[[], float],
    ) -> None:
        self._instance = settings.name
        self._failure_domain = settings.failure_domain
        self._domains = frozenset(settings.regions)
        self._state = state
        self._rate_limiter = rate_limiter
        self._explainer = PlacementExplainer(
            region=settings.region,
            failure_domain=settings.failure_domain,
            placement=placement,
            table=state.table,
        )
        self._shutdown = shutdown
        self._cold_requests_per_s = cold_requests_per_s
        self._now_s = now_s

    def respond(self, query: Mapping[str, str]) -> tuple[str, bytes]:
        """Return the status line and the JSON body for a query."""
        try:
            explanation = self.explain(query)
        except ExplainError as error:
            body = {
                "code": error.code,
                "message": error.message,
                "remedy": error.remedy,
            }
            return error.status, msgspec.json.encode({"error": body})
        return "200 OK", msgspec.json.encode(asdict(explanation))

    def explain(self, query: Mapping[str, str]) -> RequestExplanation:
        """Explain the request that a query describes.

        :raises ExplainError: if the query does not describe one.
        """
        self._check_fields(query)
        config = self._state.config
        if config is None:
            raise ExplainError(
                "503 Service Unavailable",
                "no-configuration",
                f"{self._instance} has no configuration yet",
                "wait until /-/ready says that it is ready, or ask another"
                " instance",
            )
        route = _find_route(config, query["host"], query["path"])
        workspace = _find_workspace(config, route, query.get("workspace", ""))
        self._check_domain(query.get("domain", ""))
        return self._explain_request(
            config, route, workspace, query.get("key", "")
        )

    def _check_fields(self, query: Mapping[str, str]) -> None:
        unknown = sorted(set(query) - _FIELDS)
        if unknown:
            raise _bad_request(
                f"unknown field {unknown[0]!r}",
                f"give only {', '.join(sorted(_FIELDS))}",
            )
        for name in ("host", "path"):
            if not query.get(name):
                raise _bad_request(
                    f"the field {name} is missing",
                    "give the host and the path of the request",
                )
        if not query["path"].startswith("/"):
            raise _bad_request(
                f"the path {query['path']!r} does not start with a slash",
                "give the path without the host, for example /shop/x",
            )

    def _check_domain(self, domain: str) -> None:
        if domain in ("", self._failure_domain):
            return
        if domain not in self._domains:
            raise _not_found(
                "unknown-domain",
                f"no failure domain is named {domain!r}",
                f"give one of {_listed(self._domains)}",
            )
        names = sorted(
            peer.name
            for peer in self._state.directory.peers
            if peer.failure_domain == domain
        )
        raise ExplainError(
            "409 Conflict",
            "other-domain",
            f"{self._instance} decides in {self._failure_domain}, not in"
            f" {domain}",
            f"ask one of the instances there: {_listed(names)}"
            if names
            else "ask an instance that serves the callers there; none is"
            f" registered in {domain}",
        )

    def _explain_request(
        self,
        config: SteeringConfig,
        route: Route,
        workspace: WorkspaceSpec | None,
        affinity_key: str,
    ) -> RequestExplanation:
        now_s = self._now_s()
        name = workspace.name if workspace else ""
        service = max(route.destinations, key=lambda d: d.weight).service
        rate = self._explain_rate(now_s, name) if name else {}
        refused = self._refused_early(now_s, route, workspace, rate)
        placement: dict[str, object] = {}
        decision: dict[str, object] = refused or {}
        if not refused:
            explained = self._explainer.explain(
                now_s,
                PlacementRequest(
                    route=route,
                    service=service,
                    affinity_key=affinity_key if route.sticky else "",
                    time_left_s=route.timeout_s,
                    home_regions=home_regions(route, workspace),
                    rank=effective_rank(route, workspace),
                    workspace=name,
                ),
                self._cold_requests_per_s(service),
            )
            decision = explained.decision
            placement = asdict(explained)
            del placement["decision"]
        return RequestExplanation(
            instance=self._instance,
            route=route.name,
            service=service,
            destinations={d.service: d.weight for d in route.destinations},
            workspace=name,
            config_version=config.version,
            rate=rate,
            decision=decision,
            placement=placement,
        )

    def _explain_rate(self, now_s: float, workspace: str) -> dict[str, object]:
        """Decide by the rate on a copy, which counts the request."""
        limiter = self._rate_limiter.trial(workspace)
        figures = limiter.describe(now_s, workspace)
        admission = limiter.admit(now_s, workspace)
        rate: dict[str, object] = {
            "admission": admission.name.lower(),
            "figures": figures,
        }
        if admission is Admission.REFUSED:
            rate["retry_after_s"] = round(limiter.retry_after_s(workspace), 3)
        return rate

    def _refused_early(
        self,
        now_s: float,
        route: Route,
        workspace: WorkspaceSpec | None,
        rate: Mapping[str, object],
    ) -> dict[str, object]:
        """Return why no server is chosen; empty if one is."""
        plan = self._shutdown()
        if not plan.takes_new(now_s) or not plan.can_finish(
            route, now_s, now_s + route.timeout_s
        ):
            return {"outcome": "refused", "reason": "leaving"}
        if workspace is not None and not self._state.freshness.is_valid(now_s):
            return {"outcome": "refused", "reason": "not-fresh"}
        if rate.get("admission") == Admission.REFUSED.name.lower():
            return {
                "outcome": "refused",
                "reason": "rate-exceeded",
                "retry_after_s": rate["retry_after_s"],
            }
        return {}


def _find_route(config: SteeringConfig, host: str, path: str) -> Route:
    route = config.match_route(host, path.partition("?")[0])
    if route is not None:
        return route
    routes = config.routes_of(host)
    if not routes:
        raise _not_found(
            "unknown-host",
            f"no route has the host {host!r}",
            f"give one of {_listed(r.host for r in config.routes)}",
        )
    raise _not_found(
        "unknown-path",
        f"no route of {host} matches the path {path!r}",
        f"give a path below one of {_listed(r.prefix for r in routes)}",
    )


def _find_workspace(
    config: SteeringConfig, route: Route, name: str
) -> WorkspaceSpec | None:
    if not config.needs_key(route):
        # The gateway ignores the keys of such requests.
        return None
    known = _listed(config.workspaces)
    if not name:
        raise _bad_request(
            f"requests on route {route.name} need a workspace",
            f"give the workspace, one of {known}",
        )
    workspace = config.workspaces.get(name)
    if workspace is None:
        raise _not_found(
            "unknown-workspace",
            f"no workspace is named {name!r}",
            f"give one of {known}",
        )
    return workspace


def _bad_request(message: str, remedy: str) -> ExplainError:
    return ExplainError("400 Bad Request", "bad-request", message, remedy)


def _not_found(code: str, message: str, remedy: str) -> ExplainError:
    return ExplainError("404 Not Found", code, message, remedy)


def _listed(names: Iterable[str]) -> str:
    """Return the first of some names, sorted."""
    ordered = sorted(set(names))
    listed = ", ".join(ordered[:_MAX_NAMES])
    left = len(ordered) - _MAX_NAMES
    return f"{listed} and {left} more" if left > 0 else listed
