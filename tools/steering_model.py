"""Replays patterns of load against the steering decisions, in virtual time.

Servers have slots, a queue and objects that they know; instances choose with
the real decision code and hear of one another's requests late. It prints the
share of requests answered within the objective for the decisions and for the
baseline, which sends each request to the server with the fewest own requests.
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
WARM_S = 0.2
UNKNOWN_S = 0.64
EXCHANGE_S = 0.4
NO_HOMES: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelSize:
    """Sizes of a modelled deployment, those of the users by default.

    :ivar kept: objects that a server remembers.
    """

    instances: int = 10
    servers: int = 16
    slots: int = 6
    objects: int = 47
    kept: int = 37

    @property
    def capacity_per_s(self) -> float:
        """Requests per second while all objects are known."""
        return self.servers * self.slots / WARM_S


@dataclass(kw_only=True, slots=True)
class ModelResult:
    """What became of the requests that arrived in a span."""

    asked: int = 0
    useful: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    useful_at: list[float] = field(default_factory=list)

    @property
    def useful_share(self) -> float:
        """Share of requests answered within the objective."""
        return self.useful / max(1, self.asked)

    def useful_per_s(self, from_s: float, to_s: float) -> float:
        """Return the useful answers per second of a span."""
        count = sum(from_s <= at_s < to_s for at_s in self.useful_at)
        return count / (to_s - from_s)


@dataclass(kw_only=True, slots=True)
class _Server:
    server: BackendServer
    kept: int
    slowness: float = 1.0
    running: int = 0
    waiting: deque["_Request"] = field(default_factory=deque)
    known: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def work_s(self, thing: str, random: Random) -> float:
        mean_s = WARM_S if thing in self.known else UNKNOWN_S
        return mean_s * self.slowness * random.uniform(0.8, 1.2)

    def learn(self, thing: str) -> None:
        self.known[thing] = None
        self.known.move_to_end(thing)
        if len(self.known) > self.kept:
            self.known.popitem(last=False)


@dataclass(kw_only=True, slots=True)
class _Request:
    instance: int
    thing: str
    arrived_s: float
    wanted: PlacementRequest
    placed: Placed
    server: _Server


class SteeringModel:
    """One run of a pattern.

    :param per_s: offered requests per second at a time.
    :param slow_server: whether one server works five times as long.
    :param baseline: whether to use the baseline in place of the decisions.
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
        self._numbers = itertools.count()
        table = ServerTable()
        self._servers = {}
        for number in range(self.size.servers):
            held = BackendServer(
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
            table.report(0.0, held)
            self._servers[held.server_id] = _Server(
                server=held, kept=self.size.kept
            )
        if slow_server:
            self._servers["s0"].slowness = 5.0
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

    def run(self, length_s: float) -> ModelResult:
        """Run the pattern and return what became of the requests."""
        self._at(0.0, self._arrive)
        for number in range(self.size.instances):
            offset_s = self._random.uniform(0, EXCHANGE_S)
            self._at(offset_s, lambda n=number: self._exchange(n))
        while self._events and self._events[0][0] < length_s:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        return self.result

    def _at(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def _arrive(self) -> None:
        per_s = max(0.01, self._per_s(self._now_s))
        self._at(self._now_s + self._random.expovariate(per_s), self._arrive)
        thing = str(self._random.randrange(self.size.objects))
        instance = self._random.randrange(self.size.instances)
        self.result.asked += 1
        wanted = PlacementRequest(
            route=ROUTE,
            service=SERVICE,
            affinity_key=thing,
            time_left_s=ROUTE.timeout_s,
            home_regions=NO_HOMES,
        )
        placement = self._placements[instance]
        placed = self._choose(placement, wanted)
        if isinstance(placed, PlacementRefused):
            self.result.refused += 1
            return
        server = self._servers[placed.server.server_id]
        request = _Request(
            instance=instance,
            thing=thing,
            arrived_s=self._now_s,
            wanted=wanted,
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
        self, placement: Placement, wanted: PlacementRequest
    ) -> Placed | PlacementRefused:
        if not self._baseline:
            return placement.choose(self._now_s, wanted, 1000.0)
        servers = list(self._table.usable(SERVICE))
        self._random.shuffle(servers)
        chosen = min(servers, key=lambda s: placement.load_of(s).in_flight)
        return Placed(
            server=chosen,
            expected_s=UNKNOWN_S,
            wait_s=0.0,
            predicted_s=UNKNOWN_S,
            cached=False,
            rank=None,
            load=0.0,
        )

    def _start(self, request: _Request) -> None:
        request.server.running += 1
        work_s = request.server.work_s(request.thing, self._random)
        deadline_s = request.arrived_s + ROUTE.timeout_s
        end_s = min(self._now_s + work_s, deadline_s)
        self._at(end_s, lambda: self._end(request))

    def _end(self, request: _Request) -> None:
        server = request.server
        server.running -= 1
        took_s = self._now_s - request.arrived_s
        placement = self._placements[request.instance]
        placement.request_ended(server.server)
        if took_s < ROUTE.timeout_s:
            # Work that its deadline stopped leaves nothing behind.
            server.learn(request.thing)
            placement.load_of(server.server).record_reported_load(
                self._now_s, server.running + len(server.waiting)
            )
            placement.record_response(
                self._now_s, request.wanted, request.placed, took_s
            )
        if took_s <= ROUTE.latency_objective_s:
            self.result.useful += 1
            self.result.useful_at.append(self._now_s)
        elif took_s < ROUTE.timeout_s:
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

    def _exchange(self, number: int) -> None:
        self._at(self._now_s + EXCHANGE_S, lambda: self._exchange(number))
        totals: dict[str, float] = {}
        own = self._placements[number]
        for other, placement in enumerate(self._placements):
            if other != number:
                for server_id, count in placement.in_flight().items():
                    totals[server_id] = totals.get(server_id, 0.0) + count
                stated = placement.reported_loads(self._now_s - EXCHANGE_S)
                for server_id, load in stated.items():
                    own.record_load_from_peer(self._now_s, server_id, load)
        own.set_peer_requests(self._now_s, totals)


def constant(per_s: float) -> Callable[[float], float]:
    """Return a pattern with one rate."""
    return lambda _: per_s


def burst(
    per_s: float, high_per_s: float, from_s: float, to_s: float
) -> Callable[[float], float]:
    """Return a pattern with a higher rate for a while."""
    return lambda at_s: high_per_s if from_s <= at_s < to_s else per_s


def compare(length_s: float) -> Iterator[str]:
    """Yield a line for each offered load, in shares of the capacity."""
    yield "load   useful/s  baseline  refused  late"
    capacity = ModelSize().capacity_per_s
    for load in (0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0):
        pattern = constant(load * capacity)
        ours = SteeringModel(per_s=pattern).run(length_s)
        theirs = SteeringModel(per_s=pattern, baseline=True).run(length_s)
        yield (
            f"{load:4.1f} {ours.useful / length_s:9.1f}"
            f" {theirs.useful / length_s:9.1f}"
            f" {ours.refused / ours.asked:8.3f}"
            f" {ours.late / ours.asked:5.3f}"
        )


def main() -> None:
    """Print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    for line in compare(parser.parse_args().seconds):
        print(line)


if __name__ == "__main__":
    main()
