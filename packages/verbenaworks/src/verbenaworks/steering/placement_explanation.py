"""Explains where a request would go now, and why, without sending it.

The explanation is made from the results of the decision code, which runs on a
copy of the state. New fields of these results appear in it by themselves.
"""

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from enum import Enum

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.decision_trace import KeptTrace
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
)
from verbenaworks.steering.server_table import ServerTable

# Factor by which the caller's time is extended to see whether that helps.
LONGER_TIME_FACTOR = 4.0
_DECIMALS = 4

# A value of the explanation, for JSON.
Value = object
Fields = dict[str, Value]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementExplanation:
    """Why a request would go to a server, or be refused.

    :ivar decision: the result, with all its fields.
    :ivar candidates: servers that were compared, the least cost first.
    :ivar excluded: all other servers of the service, with the reason.
    :ivar levels: limits in force for the request.
    :ivar shares: share of the service's requests by region.
    :ivar changes: what would change the result.
    """

    decision: Fields
    candidates: tuple[Fields, ...]
    excluded: tuple[Fields, ...]
    levels: Fields
    shares: Mapping[str, float]
    changes: tuple[str, ...]


class PlacementExplainer:
    """Explains the choices of one instance.

    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    """

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        placement: Placement,
        table: ServerTable,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._placement = placement
        self._table = table

    def explain(
        self,
        now_s: float,
        request: PlacementRequest,
        cold_requests_per_s: float,
    ) -> PlacementExplanation:
        """Return where a request would go now, and why."""
        trace = KeptTrace()
        trial = self._placement.trial(trace)
        result = trial.choose(now_s, request, cold_requests_per_s)
        levels: Fields = {}
        if trace.best is not None:
            levels = _rounded(trial.levels(now_s, request, trace.best))
        return PlacementExplanation(
            decision=_decision(result),
            candidates=tuple(
                self._candidate(now_s, trial, placed, cost_s)
                for placed, cost_s in sorted(
                    trace.compared.values(), key=lambda entry: entry[1]
                )
            ),
            excluded=tuple(self._excluded(now_s, trial, trace, request)),
            levels=levels,
            shares={
                region: round(share, _DECIMALS)
                for region, share in trial.region_shares()
                .get(request.service, {})
                .items()
            },
            changes=tuple(
                self._changes(now_s, request, cold_requests_per_s, result)
            ),
        )

    def _candidate(
        self, now_s: float, trial: Placement, placed: Placed, cost_s: float
    ) -> Fields:
        server = placed.server
        load = trial.load_of(server)
        described = _described(placed)
        # The trace holds the reason only of the server that was chosen.
        described.pop("reason")
        return described | {
            "cost_s": round(cost_s, _DECIMALS),
            "distance": self._distance(server),
            "failure_domain": server.failure_domain,
            "configured_slots": server.slots,
            "usable_slots": round(load.usable_slots or load.slots, 1),
            "free_slots": round(
                max(0.0, (load.usable_slots or load.slots) - placed.load), 1
            ),
            "slowdown": round(load.slowdown(now_s), 2),
            "failure_share": round(load.failure_share(now_s), _DECIMALS),
        }

    def _distance(self, server: BackendServer) -> str:
        if server.failure_domain == self._failure_domain:
            return "same failure domain"
        if server.region == self._region:
            return "same region"
        return "other region"

    def _excluded(
        self,
        now_s: float,
        trial: Placement,
        trace: KeptTrace,
        request: PlacementRequest,
    ) -> list[Fields]:
        excluded = []
        for server in sorted(self._table.servers, key=lambda s: s.server_id):
            if (
                server.service != request.service
                or server.server_id in trace.compared
            ):
                continue
            entry: Fields = {
                "server": server.server_id,
                "failure_domain": server.failure_domain,
            }
            if server.server_id in trace.excluded:
                refusal = trace.excluded[server.server_id][1]
                entry |= _described(refusal)
            else:
                entry["reason"] = self._table.exclusion(server) or (
                    _reason_not_compared(now_s, trial, server, request)
                )
            excluded.append(entry)
        return excluded

    def _changes(
        self,
        now_s: float,
        request: PlacementRequest,
        cold_requests_per_s: float,
        result: Placed | PlacementRefused,
    ) -> list[str]:
        """Return the results of decisions on changed requests."""
        tried: list[tuple[str, PlacementRequest]] = []
        if isinstance(result, Placed):
            server_id = result.server.server_id
            tried.append(
                (
                    f"if {server_id} failed the first attempt",
                    replace(
                        request,
                        tried_servers=request.tried_servers | {server_id},
                    ),
                )
            )
        else:
            longer_s = LONGER_TIME_FACTOR * request.time_left_s
            tried.append(
                (
                    f"if the caller waited for {longer_s:g} s",
                    replace(request, time_left_s=longer_s),
                )
            )
        if request.affinity_key:
            tried.append(
                ("without an affinity key", replace(request, affinity_key=""))
            )
        if request.home_regions:
            tried.append(
                (
                    "if it might run in every region",
                    replace(request, home_regions=frozenset()),
                )
            )
        changes = []
        for condition, changed in tried:
            other = self._placement.trial(KeptTrace()).choose(
                now_s, changed, cold_requests_per_s
            )
            changes.append(f"{condition}: {_summary(other)}")
        if isinstance(result, PlacementRefused):
            changes.append(
                f"after {result.retry_after_s:.2f} s: a retry may succeed"
            )
        return changes


def _reason_not_compared(
    now_s: float,
    trial: Placement,
    server: BackendServer,
    request: PlacementRequest,
) -> str:
    if request.home_regions and server.region not in request.home_regions:
        return "outside the home regions"
    if trial.load_of(server).is_down(now_s):
        return "connections failed recently"
    return "not needed for the comparison"


def _decision(result: Placed | PlacementRefused) -> Fields:
    outcome = "placed" if isinstance(result, Placed) else "refused"
    return {"outcome": outcome} | _described(result)


def _summary(result: Placed | PlacementRefused) -> str:
    match result:
        case Placed():
            return f"sent to {result.server.server_id} ({result.reason})"
        case _:
            return f"refused ({result.reason.name.lower()})"


def _described(result: object) -> Fields:
    """Return all fields of a result of the decision, for JSON."""
    return {
        item.name: _plain(getattr(result, item.name))
        for item in fields(result)  # type: ignore[arg-type]
    }


def _rounded(values: Mapping[str, Value]) -> Fields:
    return {name: _plain(value) for name, value in values.items()}


def _plain(value: Value) -> Value:
    match value:
        case BackendServer():
            return value.server_id
        case str() if isinstance(value, Enum):
            return value.value
        case Enum():
            return value.name.lower()
        case float():
            return round(value, _DECIMALS)
        case frozenset() | tuple():
            return sorted(map(str, value))
        case str() | int() | bool() | None:
            return value
    return str(value)
