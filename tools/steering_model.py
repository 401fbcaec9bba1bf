"""Replays load patterns against server selection in virtual time.

Each modelled server has slots, a queue and a cache of affinity keys. The
instances run the real placement code and exchange their counts of requests in
flight once in each report period. The tool prints the rate of responses within
the latency objective for the placement code and for a baseline, which sends
each request to the server with the fewest requests from the same instance.
"""

import argparse
import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
)
from verbenaworks.steering.route import RequestKind, Route, RouteDestination
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import ServiceTimes

SERVICE = "stock"
ROUTE = Route(
    name="browse",
    host="shop.example",
    prefix="/browse/",
    kind=RequestKind.IDEMPOTENT,
    timeout_s=1.5,
    latency_objective_s=0.4,
    priority=1,
    destinations=(RouteDestination(service=SERVICE, weight=1.0),),
    max_attempts=2,
    public=False,
    sticky=True,
    home_regions=frozenset(),
)
CACHED_SERVICE_TIME_S = 0.2
UNCACHED_SERVICE_TIME_S = 0.64
REPORT_PERIOD_S = 0.4
NO_HOME_REGIONS: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelSize:
    """Sizes of a modelled deployment.

    The defaults are the sizes of the users' deployment.

    :ivar slots: requests that a server runs at the same time.
    :ivar affinity_keys: number of distinct affinity keys of the requests.
    :ivar max_cached_keys: affinity keys that fit in the cache of a server.
    """

    instances: int = 10
    servers: int = 16
    slots: int = 6
    affinity_keys: int = 47
    max_cached_keys: int = 37

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all servers run with warm caches."""
        return self.servers * self.slots / CACHED_SERVICE_TIME_S


@dataclass(kw_only=True, slots=True)
class ModelResult:
    """Counts of requests by their outcome.

    :ivar requests: requests that arrived.
    :ivar useful: requests answered within the latency objective.
    :ivar late: requests answered after the objective but before the timeout.
    :ivar refused: requests refused by placement or by a full server queue.
    :ivar failed: requests that timed out.
    :ivar useful_at_s: end times of the useful requests.
    """

    requests: int = 0
    useful: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    useful_at_s: list[float] = field(default_factory=list)

    @property
    def useful_share(self) -> float:
        """Share of requests answered within the latency objective."""
        return self.useful / max(1, self.requests)

    def useful_per_s(self, from_s: float, to_s: float) -> float:
        """Return the rate of useful responses between two times."""
        count = sum(from_s <= at_s < to_s for at_s in self.useful_at_s)
        return count / (to_s - from_s)


@dataclass(kw_only=True, slots=True)
class _Server:
    server: BackendServer
    max_cached_keys: int
    service_time_factor: float = 1.0
    running: int = 0
    waiting: deque["_Request"] = field(default_factory=deque)
    cached_keys: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def service_time_s(self, affinity_key: str, random: Random) -> float:
        mean_s = (
            CACHED_SERVICE_TIME_S
            if affinity_key in self.cached_keys
            else UNCACHED_SERVICE_TIME_S
        )
        return mean_s * self.service_time_factor * random.uniform(0.8, 1.2)

    def cache_key(self, affinity_key: str) -> None:
        self.cached_keys[affinity_key] = None
        self.cached_keys.move_to_end(affinity_key)
        if len(self.cached_keys) > self.max_cached_keys:
            self.cached_keys.popitem(last=False)


@dataclass(kw_only=True, slots=True)
class _Request:
    instance: int
    affinity_key: str
    arrived_s: float
    placement_request: PlacementRequest
    placed: Placed
    server: _Server


class SteeringModel:
    """One run of a load pattern.

    :param per_s: returns the offered requests per second at a given time.
    :param slow_server: whether one server takes five times as long.
    :param baseline: whether to use the baseline instead of placement.
    """

    def __init__(
        self,
        *,
        per_s: Callable[[float], float],
        size: ModelSize | None = None,
        seed: int = 1,
        baseline: bool = False,
        slow_server: bool = False,
    ) -> None:
        self.size = size or ModelSize()
        self.result = ModelResult()
        self._per_s = per_s
        self._baseline = baseline
        self._random = Random(seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        table = ServerTable()
        self._servers = {}
        for number in range(self.size.servers):
            server = BackendServer(
                server_id=f"s{number}",
                service=SERVICE,
                address=("127.0.0.1", 80 + number),
                failure_domain="a",
                region="r",
                slots=self.size.slots,
                draining=False,
                cold_left_s=0.0,
                sequence=1,
            )
            table.report(0.0, server)
            self._servers[server.server_id] = _Server(
                server=server, max_cached_keys=self.size.max_cached_keys
            )
        if slow_server:
            self._servers["s0"].service_time_factor = 5.0
        self._table = table
        self._placements = [
            Placement(
                region="r",
                failure_domain="a",
                table=table,
                times=ServiceTimes(),
                cold_start_limiter=ColdStartLimiter(f"i{number}"),
                random=Random(seed * 1000 + number),
            )
            for number in range(self.size.instances)
        ]

    def run(self, duration_s: float) -> ModelResult:
        """Run the pattern and return the counts of requests by outcome."""
        self._schedule(0.0, self._handle_arrival)
        for number in range(self.size.instances):
            offset_s = self._random.uniform(0, REPORT_PERIOD_S)
            self._schedule(
                offset_s, lambda n=number: self._exchange_reports(n)
            )
        while self._events and self._events[0][0] < duration_s:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        return self.result

    def _schedule(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), event))

    def _handle_arrival(self) -> None:
        per_s = max(0.01, self._per_s(self._now_s))
        self._schedule(
            self._now_s + self._random.expovariate(per_s), self._handle_arrival
        )
        affinity_key = str(self._random.randrange(self.size.affinity_keys))
        instance = self._random.randrange(self.size.instances)
        self.result.requests += 1
        placement_request = PlacementRequest(
            route=ROUTE,
            service=SERVICE,
            affinity_key=affinity_key,
            time_left_s=ROUTE.timeout_s,
            home_regions=NO_HOME_REGIONS,
        )
        placement = self._placements[instance]
        placed = self._choose(placement, placement_request)
        if isinstance(placed, PlacementRefused):
            self.result.refused += 1
            return
        server = self._servers[placed.server.server_id]
        request = _Request(
            instance=instance,
            affinity_key=affinity_key,
            arrived_s=self._now_s,
            placement_request=placement_request,
            placed=placed,
            server=server,
        )
        placement.request_started(placed.server)
        if server.running < self.size.slots:
            self._start(request)
        elif len(server.waiting) < 3 * self.size.slots:
            server.waiting.append(request)
        else:
            placement.request_ended(placed.server)
            placement.load_of(placed.server).record_overload(self._now_s)
            self.result.refused += 1

    def _choose(
        self, placement: Placement, placement_request: PlacementRequest
    ) -> Placed | PlacementRefused:
        if not self._baseline:
            return placement.choose(self._now_s, placement_request, 1000.0)
        servers = list(self._table.usable(SERVICE))
        self._random.shuffle(servers)
        chosen = min(servers, key=lambda s: placement.load_of(s).in_flight)
        return Placed(
            server=chosen,
            expected_s=UNCACHED_SERVICE_TIME_S,
            wait_s=0.0,
            predicted_s=UNCACHED_SERVICE_TIME_S,
            cached=False,
            rank=None,
            load=0.0,
        )

    def _start(self, request: _Request) -> None:
        request.server.running += 1
        service_time_s = request.server.service_time_s(
            request.affinity_key, self._random
        )
        deadline_s = request.arrived_s + ROUTE.timeout_s
        end_s = min(self._now_s + service_time_s, deadline_s)
        self._schedule(end_s, lambda: self._handle_end(request))

    def _handle_end(self, request: _Request) -> None:
        server = request.server
        server.running -= 1
        response_time_s = self._now_s - request.arrived_s
        placement = self._placements[request.instance]
        placement.request_ended(server.server)
        if response_time_s < ROUTE.timeout_s:
            # A server that aborts a request at its deadline caches no key and
            # sends no response.
            server.cache_key(request.affinity_key)
            placement.load_of(server.server).record_reported_load(
                self._now_s, server.running + len(server.waiting)
            )
            placement.record_response(
                self._now_s,
                request.placement_request,
                request.placed,
                response_time_s,
            )
        if response_time_s <= ROUTE.latency_objective_s:
            self.result.useful += 1
            self.result.useful_at_s.append(self._now_s)
        elif response_time_s < ROUTE.timeout_s:
            self.result.late += 1
        else:
            self.result.failed += 1
        while server.waiting and server.running < self.size.slots:
            waiting = server.waiting.popleft()
            if self._now_s - waiting.arrived_s < ROUTE.timeout_s:
                self._start(waiting)
            else:
                self.result.failed += 1
                self._placements[waiting.instance].request_ended(server.server)

    def _exchange_reports(self, number: int) -> None:
        self._schedule(
            self._now_s + REPORT_PERIOD_S,
            lambda: self._exchange_reports(number),
        )
        totals: dict[str, float] = {}
        local = self._placements[number]
        for other, placement in enumerate(self._placements):
            if other != number:
                for server_id, count in placement.in_flight().items():
                    totals[server_id] = totals.get(server_id, 0.0) + count
                reported = placement.reported_loads(
                    self._now_s - REPORT_PERIOD_S
                )
                for server_id, load in reported.items():
                    local.record_load_from_peer(self._now_s, server_id, load)
        local.set_peer_requests(self._now_s, totals)


def constant(per_s: float) -> Callable[[float], float]:
    """Return a load pattern with a constant rate."""
    return lambda _: per_s


def burst(
    per_s: float, high_per_s: float, from_s: float, to_s: float
) -> Callable[[float], float]:
    """Return a load pattern with a higher rate between two times."""
    return lambda at_s: high_per_s if from_s <= at_s < to_s else per_s


def compare(duration_s: float) -> Iterator[str]:
    """Yield a table with one row for each load, as a share of the capacity."""
    yield "load   useful/s  baseline  refused  late"
    capacity = ModelSize().capacity_per_s
    for load in (0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0):
        pattern = constant(load * capacity)
        steered = SteeringModel(per_s=pattern).run(duration_s)
        baseline = SteeringModel(per_s=pattern, baseline=True).run(duration_s)
        yield (
            f"{load:4.1f} {steered.useful / duration_s:9.1f}"
            f" {baseline.useful / duration_s:9.1f}"
            f" {steered.refused / steered.requests:8.3f}"
            f" {steered.late / steered.requests:5.3f}"
        )


def main() -> None:
    """Print the comparison of placement with the baseline."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    for line in compare(parser.parse_args().seconds):
        print(line)


if __name__ == "__main__":
    main()
