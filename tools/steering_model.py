"""Replays load patterns against server selection in virtual time.

Each modelled server has slots, a queue and a cache of affinity keys. The
instances run the real placement code and exchange their counts of requests in
flight once in each report period. There may be several regions, each with its
instances, servers and callers. The tool prints the rate of responses within
the latency objective for the placement code and for a baseline, which sends
each request to the server with the fewest requests from the same instance.
"""

import argparse
import heapq
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from capacity_report import capacity_report
from steering_model_server import UNCACHED_SERVICE_TIME_S, ModelServer
from steering_model_types import (
    ModelResult,
    ModelRun,
    ModelSize,
    ModelTraffic,
)
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.peer_report import PeerReport
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
)
from verbenaworks.steering.rank_admission import RankAdmission
from verbenaworks.steering.region_requests import RegionRequests
from verbenaworks.steering.region_splits import Shares
from verbenaworks.steering.returning_requests import ReturningRequests
from verbenaworks.steering.route import RequestKind, Route, RouteDestination
from verbenaworks.steering.server_admission import MIN_RETRY_AFTER_S
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_pauses import ServerPauses
from verbenaworks.steering.server_senders import ServerSenders
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
REPORT_PERIOD_S = 0.4
# Instances use the reports of the last periods, as the daemon does.
REPORT_VALID_S = 2.0
MIN_REPORTING_SHARE = 0.75
# Round trip between two regions.
CROSS_REGION_RTT_S = 0.04
COLD_REQUESTS_PER_S = 17.0
COLD_START_S = 3.0
# Time between two looks at the load pattern while there are no requests.
IDLE_CHECK_PERIOD_S = 0.05
# Length of the pauses that servers ask for, and time between two of them.
PAUSE_S = 2.0
PAUSE_PERIOD_S = 2
NO_HOME_REGIONS: frozenset[str] = frozenset()


@dataclass(kw_only=True, slots=True)
class _Instance:
    region: str
    placement: Placement
    pauses: ServerPauses
    is_cut_off: bool = False
    # In-flight requests in its last report, by server.
    report: dict[str, int] = field(default_factory=dict)
    # The shares that it uses, as of its last report.
    shares: Shares = field(default_factory=dict)
    reported_at_s: float = float("-inf")
    returning: ReturningRequests = field(default_factory=ReturningRequests)
    # Its arrivals in its last report, by service and workspace.
    demand: dict[int, dict[int, int]] = field(default_factory=dict)
    capacities: PeerReport = field(default_factory=lambda: capacity_report(""))


@dataclass(kw_only=True, slots=True)
class _Request:
    instance: _Instance
    placement: Placement
    affinity_key: str
    arrived_s: float
    # When it was sent for the last time; later than ``arrived_s`` if it was
    # refused at first.
    sent_s: float
    placement_request: PlacementRequest
    placed: Placed
    server: ModelServer


class SteeringModel:
    """One run of a load pattern.

    :param per_s: returns the offered requests per second at a given time.
    :param share_of: returns the share of these requests that come from the
        callers of a region at a given time; by default, all regions are equal.
    :param slow_server: whether one server takes five times as long.
    :param baseline: whether to use the baseline instead of placement.
    :param heeds_pauses: whether instances keep the pauses of servers.
    :ivar servers: the servers by id.
    :param switches: switches of the placement, such as ``machine_speed``.
    :param traffic: requests of several ranks and workspaces instead of
        ``per_s``.
    :param rank_admission: whether they are admitted by rank and share.
    :param returns: whether callers return once after Retry-After.
    :param counted_from_s: when counting by rank and workspace starts.
    """

    def __init__(
        self,
        *,
        per_s: Callable[[float], float] | None = None,
        share_of: Callable[[str, float], float] | None = None,
        size: ModelSize | None = None,
        seed: int = 1,
        baseline: bool = False,
        slow_server: bool = False,
        heeds_pauses: bool = True,
        switches: Mapping[str, bool] | None = None,
        traffic: Sequence[ModelTraffic] = (),
        rank_admission: bool = True,
        returns: bool = False,
        counted_from_s: float = 0.0,
    ) -> None:
        self.size = size or ModelSize()
        self.result = ModelResult()
        self._traffic = tuple(traffic)
        if per_s is not None:
            self._traffic = (ModelTraffic(per_s=per_s),)
        self._rank_admission = rank_admission
        self._returns = returns
        self._counted_from_s = counted_from_s
        self._share_of = share_of or (lambda region, at_s: 1.0)
        self._baseline = baseline
        self._heeds_pauses = heeds_pauses
        self._switches = dict(switches or {})
        self._random = Random(seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._table = ServerTable()
        self.servers: dict[str, ModelServer] = {}
        self._instances: list[_Instance] = []
        for region in self.size.regions:
            for _ in range(region.servers):
                self.add_server(region.name)
            for _ in range(region.instances):
                self._add_instance(region.name)
        if slow_server:
            self.servers["s0"].service_time_factor = 5.0

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something at a time of the run."""
        self._schedule(at_s, action)

    def add_server(self, region: str, *, cold: bool = False) -> None:
        """Add a server to a region."""
        number = len(self.servers)
        server = BackendServer(
            server_id=f"s{number}",
            service=SERVICE,
            address=("127.0.0.1", 80 + number),
            failure_domain=f"{region}-a",
            region=region,
            slots=self.size.slots,
            draining=False,
            cold_left_s=COLD_START_S if cold else 0.0,
            sequence=1,
        )
        self._table.report(self._now_s, server)
        self.servers[server.server_id] = ModelServer(
            server=server,
            max_cached_keys=self.size.max_cached_keys,
            cold_until_s=self._now_s + server.cold_left_s,
        )

    def remove_server(self, region: str) -> None:
        """Let one server of a region leave; its requests end normally."""
        server = next(
            s for s in self._table.usable(SERVICE) if s.region == region
        )
        self._table.remove(self._now_s, server.server_id)

    def pause_servers(self, numbers: Iterable[int], pause_s: float) -> None:
        """Let servers refuse all requests for a time, and say so."""
        for number in numbers:
            server = self.servers[f"s{number}"]
            server.paused_until_s = self._now_s + pause_s

    def announce_leaving(self, number: int) -> None:
        """Let a server say in its answers that it is leaving."""
        server = self.servers[f"s{number}"].server
        self._table.record_leaving(self._now_s, server)

    def make_cold(self, region: str, count: int) -> None:
        """Let some servers of a region start again with empty caches."""
        servers = self._table.usable(SERVICE)
        for server in [s for s in servers if s.region == region][:count]:
            state = self.servers[server.server_id]
            state.cached_keys.clear()
            state.cold_until_s = self._now_s + COLD_START_S
            self._table.report(
                self._now_s,
                replace(
                    server,
                    cold_left_s=COLD_START_S,
                    sequence=server.sequence + 1,
                ),
            )

    def restart_instance(self, number: int) -> None:
        """Replace an instance by one that knows nothing."""
        instance = self._instances[number]
        instance.pauses = ServerPauses()
        instance.placement = self._make_placement(
            number, instance.region, instance.pauses
        )
        instance.returning = ReturningRequests()
        instance.report = {}
        instance.demand = {}

    def set_cut_off(self, number: int, is_cut_off: bool) -> None:
        """Cut the reports to and from an instance, or restore them."""
        self._instances[number].is_cut_off = is_cut_off

    def count_differing(self, number: int) -> int:
        """Count servers whose capacity an instance knows to differ."""
        capacities = self._instances[number].placement.capacities
        return len(capacities.that_differ(self._now_s, self._table.servers))

    def run(self, duration_s: float) -> ModelResult:
        """Run the pattern and return the counts of requests by outcome."""
        self._schedule(0.0, self._handle_arrival)
        for instance in self._instances:
            offset_s = self._random.uniform(0, REPORT_PERIOD_S)
            self._schedule(
                offset_s, lambda i=instance: self._exchange_reports(i)
            )
        while self._events and self._events[0][0] < duration_s:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        return self.result

    def _add_instance(self, region: str) -> None:
        number = len(self._instances)
        pauses = ServerPauses()
        self._instances.append(
            _Instance(
                region=region,
                placement=self._make_placement(number, region, pauses),
                pauses=pauses,
            )
        )

    def _make_placement(
        self, number: int, region: str, pauses: ServerPauses
    ) -> Placement:
        senders = ServerSenders(f"i{number}", region)
        rank_admission = RankAdmission()
        if self._rank_admission and len(self._traffic) > 1:
            rank_admission.set_services([SERVICE])
        return Placement(
            region=region,
            failure_domain=f"{region}-a",
            table=self._table,
            times=ServiceTimes(),
            cold_start_limiter=ColdStartLimiter(senders),
            limits=ServerLimits(senders=senders),
            pauses=pauses,
            random=Random(self._random.randrange(2**32)),
            **self._switches,
            rank_admission=rank_admission,
        )

    def _schedule(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), event))

    def _handle_arrival(self) -> None:
        rates = [traffic.per_s(self._now_s) for traffic in self._traffic]
        per_s = sum(rates)
        if per_s <= 0:
            self._schedule(
                self._now_s + IDLE_CHECK_PERIOD_S, self._handle_arrival
            )
            return
        self._schedule(
            self._now_s + self._random.expovariate(per_s), self._handle_arrival
        )
        affinity_key = str(self._random.randrange(self.size.affinity_keys))
        instance = self._entry_instance()
        self.result.requests += 1
        traffic = self._traffic[0]
        if len(rates) > 1:
            traffic = self._random.choices(self._traffic, rates)[0]
        placement_request = PlacementRequest(
            route=ROUTE,
            service=SERVICE,
            affinity_key=affinity_key,
            time_left_s=ROUTE.timeout_s,
            home_regions=NO_HOME_REGIONS,
            rank=traffic.rank,
            workspace=traffic.workspace,
        )
        self._count(placement_request, "requests")
        self._receive(instance, placement_request)

    def _receive(
        self, instance: _Instance, placement_request: PlacementRequest
    ) -> None:
        is_returning = instance.returning.is_returning(
            self._now_s, "", ROUTE.name, placement_request.time_left_s
        )
        self._place(
            instance, replace(placement_request, is_returning=is_returning)
        )

    def _place(
        self, instance: _Instance, placement_request: PlacementRequest
    ) -> None:
        placed = self._choose(instance.placement, placement_request)
        if isinstance(placed, PlacementRefused):
            self._record_refusal(placement_request, placed.retry_after_s)
            return
        server = self.servers[placed.server.server_id]
        if self._now_s < server.paused_until_s:
            self._handle_pause(instance, placement_request, server)
            return
        self._send(
            _Request(
                instance=instance,
                placement=instance.placement,
                affinity_key=placement_request.affinity_key,
                arrived_s=self._now_s - _waited_s(placement_request),
                sent_s=self._now_s,
                placement_request=placement_request,
                placed=placed,
                server=server,
            )
        )

    def _handle_pause(
        self,
        instance: _Instance,
        placement_request: PlacementRequest,
        server: ModelServer,
    ) -> None:
        """Handle a refusal with a pause; the request is sent once more."""
        self.result.sent_in_pauses += 1
        if self._heeds_pauses:
            instance.pauses.record_pause(
                self._now_s,
                server.server,
                server.paused_until_s - self._now_s,
            )
        instance.placement.load_of(server.server).record_failure(self._now_s)
        tried = placement_request.tried_servers | {server.server.server_id}
        if len(tried) >= ROUTE.max_attempts:
            self._record_refusal(placement_request)
            return
        self._place(instance, replace(placement_request, tried_servers=tried))

    def _entry_instance(self) -> _Instance:
        regions = [region.name for region in self.size.regions]
        shares = [self._share_of(name, self._now_s) for name in regions]
        region = self._random.choices(regions, shares)[0]
        return self._random.choice(
            [i for i in self._instances if i.region == region]
        )

    def _send(self, request: _Request) -> None:
        server = request.server
        request.placement.request_started(server.server)
        if server.running < self.size.slots:
            self._start(request)
        elif len(server.waiting) < 3 * self.size.slots:
            server.waiting.append(request)
        else:
            request.placement.request_ended(server.server)
            request.placement.load_of(server.server).record_refusal(
                self._now_s
            )
            self._record_refusal(request.placement_request)

    def _record_refusal(
        self,
        placement_request: PlacementRequest,
        retry_after_s: float = MIN_RETRY_AFTER_S,
    ) -> None:
        """Let a caller return, unless it has already."""
        waited_s = _waited_s(placement_request)
        if not self._returns or waited_s:
            self.result.refused += 1
            self._count(placement_request, "refused", self._now_s - waited_s)
            return
        self.result.returned += 1
        pause_s = min(retry_after_s, ROUTE.timeout_s / 3)
        again = replace(
            placement_request,
            time_left_s=ROUTE.timeout_s - pause_s,
            tried_servers=frozenset(),
        )
        self._schedule(
            self._now_s + pause_s,
            lambda: self._receive(self._entry_instance(), again),
        )

    def _count(
        self,
        request: PlacementRequest,
        outcome: str,
        arrived_s: float | None = None,
    ) -> None:
        """Count a request by its class, unless it arrived too early."""
        at_s = self._now_s if arrived_s is None else arrived_s
        if at_s < self._counted_from_s:
            return
        key = (request.rank, request.workspace)
        self.result.by_class[key][outcome] += 1

    def _choose(
        self, placement: Placement, placement_request: PlacementRequest
    ) -> Placed | PlacementRefused:
        if not self._baseline:
            return placement.choose(
                self._now_s, placement_request, COLD_REQUESTS_PER_S
            )
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
        end_s = request.server.end_s(
            self._now_s, request.affinity_key, self._random
        )
        end_s = min(end_s, request.arrived_s + ROUTE.timeout_s)
        self._schedule(end_s, lambda: self._handle_end(request))

    def _handle_end(self, request: _Request) -> None:
        server = request.server
        region = request.instance.region
        response_time_s = self._now_s - request.arrived_s
        if server.server.region != region:
            response_time_s += CROSS_REGION_RTT_S
        self.result.runs.append(
            ModelRun(
                arrived_s=request.arrived_s,
                from_region=region,
                in_region=server.server.region,
            )
        )
        placement = request.placement
        if response_time_s < ROUTE.timeout_s:
            # A server that aborts a request at its deadline caches no key and
            # sends no response.
            server.cache_key(request.affinity_key)
            placement.load_of(server.server).record_reported_load(
                self._now_s, server.running + len(server.waiting)
            )
            work_factor = server.stated_factor(self._now_s)
            placement.load_of(server.server).machine_speed.record(
                self._now_s, work_factor
            )
            placement.record_response(
                self._now_s,
                request.placement_request,
                request.placed,
                response_time_s - (request.sent_s - request.arrived_s),
                work_factor=work_factor,
            )
            self._count(
                request.placement_request, "answered", request.arrived_s
            )
        server.running -= 1
        placement.request_ended(server.server)
        if response_time_s <= ROUTE.latency_objective_s:
            self.result.useful += 1
            self._count(request.placement_request, "useful", request.arrived_s)
            self.result.useful_at_s.append(self._now_s)
        elif response_time_s < ROUTE.timeout_s:
            self.result.late += 1
        else:
            self.result.failed += 1
        self._start_waiting(server)

    def _start_waiting(self, server: ModelServer) -> None:
        while server.waiting and server.running < self.size.slots:
            waiting = server.waiting.popleft()
            if self._now_s - waiting.arrived_s < ROUTE.timeout_s:
                self._start(waiting)
            else:
                self.result.failed += 1
                waiting.placement.request_ended(server.server)

    def _exchange_reports(self, instance: _Instance) -> None:
        self._schedule(
            self._now_s + REPORT_PERIOD_S,
            lambda: self._exchange_reports(instance),
        )
        if not instance.is_cut_off:
            instance.report = instance.placement.in_flight()
            instance.shares = instance.placement.region_shares()
            instance.capacities = capacity_report(
                str(id(instance)),
                instance.placement.capacities.packed(
                    self._now_s, self._table.servers
                ),
            )
            instance.reported_at_s = self._now_s
            instance.demand = (
                instance.placement.rank_admission.reported_demand(self._now_s)
            )
        peers = [i for i in self._instances if i is not instance]
        if instance.is_cut_off:
            peers = []
        oldest_s = self._now_s - REPORT_VALID_S
        peers = [i for i in peers if i.reported_at_s >= oldest_s]
        for peer in peers:
            instance.placement.capacities.record(
                peer.reported_at_s, peer.capacities
            )
        totals: Counter[str] = Counter()
        by_region: dict[str, Counter[str]] = defaultdict(Counter)
        for peer in peers:
            totals.update(peer.report)
            by_region[peer.region].update(peer.report)
        placement = instance.placement
        placement.set_peer_requests(self._now_s, totals)
        for peer in peers:
            placement.rank_admission.demand.record(
                peer.reported_at_s,
                str(id(peer)),
                peer.demand,
                REPORT_VALID_S,
            )
        by_region[instance.region].update(placement.in_flight())
        placement.set_peer_shares(
            [i.shares for i in peers if i.region == instance.region]
        )
        placement.set_region_requests(
            self._now_s,
            {
                region: RegionRequests(in_flight=in_flight, bound={})
                for region, in_flight in by_region.items()
            },
            is_complete=len(peers) + 1
            >= MIN_REPORTING_SHARE * len(self._instances),
        )


def _waited_s(request: PlacementRequest) -> float:
    """Return for how long a caller has waited before it sent a request."""
    return ROUTE.timeout_s - request.time_left_s


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


def pause_in_turn(model: SteeringModel, duration_s: float) -> None:
    """Let each third of the servers ask for a pause in turn."""
    count = sum(region.servers for region in model.size.regions)
    for turn, at_s in enumerate(
        range(PAUSE_PERIOD_S, int(duration_s), PAUSE_PERIOD_S)
    ):
        third = range(turn % 3, count, 3)
        model.at(float(at_s), lambda t=third: model.pause_servers(t, PAUSE_S))


def compare_pauses(duration_s: float) -> Iterator[str]:
    """Yield a table of a service of which a third asks for pauses in turn."""
    yield "load  pauses   useful    late  refused  sent in a pause"
    for load in (0.3, 0.5, 0.8):
        for heeds_pauses in (False, True):
            model = SteeringModel(
                per_s=constant(load * ModelSize().capacity_per_s),
                heeds_pauses=heeds_pauses,
            )
            pause_in_turn(model, duration_s)
            result = model.run(duration_s)
            yield (
                f"{load:4.1f}  {'kept' if heeds_pauses else 'not':7s}"
                f" {result.useful_share:7.3f}"
                f" {result.late / result.requests:7.3f}"
                f" {result.refused / result.requests:8.3f}"
                f" {result.sent_in_pauses:16d}"
            )


def main() -> None:
    """Print the comparisons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    seconds = parser.parse_args().seconds
    for line in itertools.chain(compare(seconds), compare_pauses(seconds)):
        print(line)


if __name__ == "__main__":
    main()
