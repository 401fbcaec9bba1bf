"""Compares a link with a byte rate limit and one without, in virtual time.

One direction of a link between two regions carries bodies: instances of the
first region send request bodies to targets of the second, and instances of
the second region read responses of targets of the first. Bodies have 2 KB
(70%), 64 KB (20%) or 2 MB (10%); a body that has not passed after 5 s is
late. A request that cannot reserve bytes for a body of the usual size waits
up to 1 s and is then kept out, like a request for which there is no target;
response bodies are charged without a reservation. Each read of a body follows
when the previous one has left the link. Budget messages between instances
take 12 ms. In the runs with a lost region, the three instances of the third
region die after 8 s; they own budgets of the link. ``--json FILE`` writes the
figures to a file.
"""

import argparse
import json
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from measure_budgets import INSTANCES, SHARED, Fleet
from sample_quantile import quantile
from standins.delay_link import SharedLink
from verbenad.budget_plan import link_burst, link_parts
from verbenaworks.body_sizes import BodySizes
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import shard_of
from verbenaworks.link_meter import (
    MAX_CARRY_BYTES,
    TOKEN_BYTES,
    LinkMeter,
    LinkPart,
)

LINK_BYTES_PER_S = 500_000_000
READ_BYTES = 65536
BODY_SIZES = ((0.7, 2_000), (0.2, 64_000), (0.1, 2_000_000))
MEAN_BYTES = sum(share * size for share, size in BODY_SIZES)
DEADLINE_S = 5.0
MAX_RESERVATION_WAIT_S = 1.0
RETRY_INTERVAL_S = 0.05
WARM_UP_S = 6.0
LOST_AT_S = 8.0
WINDOW_S = 0.1
LIMITED, UNLIMITED = "limited", "no limit"
# Instances 0 to 3 are in the first region, 4 to 7 in the second, and 8 to 10
# in the third, which is lost.
SENDERS, READERS, LOST_INSTANCES = (0, 1, 2, 3), (4, 5, 6, 7), (8, 9, 10)


@dataclass(kw_only=True, eq=False)
class _Body:
    size: int
    at_s: float
    client: "_LinkClient"
    remaining_bytes: int
    reserved: int = 0
    waited_s: float = 0.0
    queued_at_s: float = 0.0
    is_retry: bool = False
    passed_at_s: float | None = None
    ended: bool = False


@dataclass(kw_only=True, eq=False)
class _LinkClient:
    """One instance's use of the link, with the bodies that wait for it.

    :ivar unreserved: requests that wait for a reservation.
    """

    meter: LinkMeter
    shards: tuple[int, ...]
    instance: Any
    sizes: BodySizes = field(default_factory=BodySizes)
    waiting: deque[_Body] = field(default_factory=deque)
    wake_s: float = float("inf")
    unreserved: int = 0


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one run.

    :ivar use: bytes put on the link as a share of its capacity.
    :ivar goodput: bytes of bodies that passed in time, as a share of the
        link's capacity.
    :ivar peak: most bytes put on the link in a window, as a share of what
        the rate and the burst allow.
    :ivar queue_ms: longest queue in the network itself.
    :ivar kept_out: requests that got no reservation, as a share of all
        bodies.
    :ivar late: bodies that did not pass in time, as a share of those begun.
    """

    load: float
    fault: str
    way: str
    use: float
    goodput: float
    peak: float
    small_p50_ms: float
    small_p99_ms: float
    large_p99_ms: float
    queue_ms: float
    kept_out: float
    late: float


class LinkFleet(Fleet):
    """Instances that send bodies over one link."""

    def __init__(self, way: str, load: float, lost: bool, seed: int) -> None:
        config: Any = SimpleNamespace(
            regions={
                name: SimpleNamespace(link_bytes_per_s=LINK_BYTES_PER_S)
                for name in "ab"
            }
        )
        parts = link_parts(config, "a", "b")
        super().__init__(SHARED, parts, seed)
        self.is_limited = way == LIMITED
        self.bodies: list[_Body] = []
        self.kept_out = 0
        self.offered = 0
        self.link = SharedLink(LINK_BYTES_PER_S)
        self.bytes_by_window: dict[int, int] = {}
        self.queue_s = 0.0
        reservable_bytes = link_burst(LINK_BYTES_PER_S) * TOKEN_BYTES // 16
        self.max_reserved_bytes = reservable_bytes
        self.clients = [self._make_client(k, parts) for k in range(INSTANCES)]
        for indices, is_request in ((SENDERS, True), (READERS, False)):
            per_s = load * LINK_BYTES_PER_S / MEAN_BYTES / 2
            self._arrivals(per_s, indices, is_request)
        self._every(0.25, self._update_demand)
        if lost:
            for index in LOST_INSTANCES:
                self.after(LOST_AT_S, lambda i=index: self.kill(i))

    def _start_owner(self, shard: int, instance: Any, epoch: int) -> None:
        super()._start_owner(shard, instance, epoch)
        if epoch > 1:
            return
        # The first owner need not wait for grants of a previous one. Two of
        # the four budgets belong to instances that die with the lost region.
        index = (
            LOST_INSTANCES[len(self.owners) // 2]
            if len(self.owners) % 2
            else 0
        )
        owner = BudgetOwner(
            shard=shard,
            lease=SimpleNamespace(epoch=1, is_valid=lambda now_s: True),
            started_at_s=-1e6,
            wait_s=0.0,
        )
        owner.configure(0.0, self.budgets.values())
        self.owners[shard] = (self.instances[index], owner)

    def _make_client(self, index: int, parts: list[Any]) -> _LinkClient:
        instance = self.instances[index]
        first = index % len(parts)
        ordered = parts[first:] + parts[:first]
        return _LinkClient(
            meter=LinkMeter(
                [
                    LinkPart(instance.clients[shard_of(p.name)], p.name)
                    for p in ordered
                ]
            ),
            shards=tuple(shard_of(p.name) for p in ordered),
            instance=instance,
        )

    def _every(self, period_s: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.after(period_s, again)

        self.after(period_s, again)

    def _update_demand(self) -> None:
        for index in SENDERS + READERS:
            client = self.clients[index]
            usual = client.sizes.request_bytes("s")
            backlog = (
                len(client.waiting) * MAX_CARRY_BYTES
                + client.unreserved * usual
            )
            client.meter.add_demand(self.now_s, 1 + backlog // TOKEN_BYTES)

    def _arrivals(
        self, per_s: float, indices: tuple[int, ...], is_request: bool
    ) -> None:
        def again() -> None:
            self.after(self.rng.expovariate(per_s), again)
            sizes = [size for _, size in BODY_SIZES]
            shares = [share for share, _ in BODY_SIZES]
            (size,) = self.rng.choices(sizes, shares)
            client = self.clients[self.rng.choice(indices)]
            body = _Body(
                size=size, at_s=self.now_s, client=client, remaining_bytes=size
            )
            self.offered += size
            if is_request and self.is_limited:
                client.unreserved += 1
                self._try_reserve(body)
            else:
                self._begin(body)

        self.after(self.rng.expovariate(per_s), again)

    def _try_reserve(self, body: _Body) -> None:
        client = body.client
        usual = min(client.sizes.request_bytes("s"), self.max_reserved_bytes)
        if not client.waiting and client.meter.reserve(self.now_s, usual):
            body.reserved = usual
            client.unreserved -= 1
            self._begin(body)
        elif self.now_s - body.at_s >= MAX_RESERVATION_WAIT_S:
            client.unreserved -= 1
            self.kept_out += 1
        else:
            self.after(RETRY_INTERVAL_S, lambda: self._try_reserve(body))
        self._exchange_all_if_due(client)

    def _begin(self, body: _Body) -> None:
        self.bodies.append(body)
        self._send_next_read(body)

    def _send_next_read(self, body: _Body) -> None:
        """Send the next read of a body, or queue the body."""
        client = body.client
        if self.now_s - body.at_s >= DEADLINE_S:
            self._end(body)
            return
        if not self.is_limited:
            self._send_read(body)
            return
        size = min(READ_BYTES, body.remaining_bytes)
        reserved = min(size, body.reserved)
        if (not client.waiting or reserved == size) and client.meter.charge(
            self.now_s, size, reserved_bytes=reserved
        ):
            body.reserved -= reserved
            self._send_read(body)
        else:
            body.is_retry = not client.waiting
            body.queued_at_s = self.now_s
            client.waiting.append(body)
            self._serve_queue(client)
        self._exchange_all_if_due(client)

    def _serve_queue(self, client: _LinkClient) -> None:
        while client.waiting:
            body = client.waiting[0]
            size = min(READ_BYTES, body.remaining_bytes)
            reserved = min(size, body.reserved)
            if self.now_s - body.at_s >= DEADLINE_S:
                client.waiting.popleft()
                client.meter.release(self.now_s)
                self._end(body)
                continue
            if not client.meter.charge(
                self.now_s,
                size,
                reserved_bytes=reserved,
                is_retry=body.is_retry,
            ):
                body.is_retry = True
                break
            client.waiting.popleft()
            body.reserved -= reserved
            body.waited_s += self.now_s - body.queued_at_s
            self._send_read(body)
        if client.waiting and client.wake_s <= self.now_s + 1e-9:
            client.wake_s = float("inf")
        if client.waiting and client.wake_s == float("inf"):
            wait_s = min(
                RETRY_INTERVAL_S, max(0.001, client.meter.wait_s(self.now_s))
            )
            client.wake_s = self.now_s + wait_s
            self.after(wait_s, lambda: self._wake_queue(client))

    def _wake_queue(self, client: _LinkClient) -> None:
        client.wake_s = float("inf")
        self._serve_queue(client)
        self._exchange_all_if_due(client)

    def _send_read(self, body: _Body) -> None:
        """Send one read; the next one follows when it has left the link."""
        size = min(READ_BYTES, body.remaining_bytes)
        body.remaining_bytes -= size
        window = int(self.now_s / WINDOW_S)
        self.bytes_by_window[window] = (
            self.bytes_by_window.get(window, 0) + size
        )
        send_time_s = self.link.schedule_send(self.now_s, size) - self.now_s
        if self.now_s >= WARM_UP_S:
            self.queue_s = max(self.queue_s, send_time_s)
        if body.remaining_bytes:
            self.after(send_time_s, lambda: self._send_next_read(body))
        else:
            body.passed_at_s = self.now_s + send_time_s
            self._end(body)

    def _end(self, body: _Body) -> None:
        body.ended = True
        body.client.meter.release(self.now_s, body.reserved)
        if body.passed_at_s is not None:
            body.client.sizes.record("s", body.size, None)

    def _accept_reply(self, instance: Any, reply: Any) -> None:
        super()._accept_reply(instance, reply)
        client = self.clients[instance.index]
        if client.waiting:
            self._serve_queue(client)

    def _exchange_all_if_due(self, client: _LinkClient) -> None:
        for shard in client.shards:
            self._exchange_if_due(client.instance, shard)


def run(
    way: str, load: float, lost: bool, duration_s: float, seed: int
) -> Figures:
    """Return the figures of one run."""
    fleet = LinkFleet(way, load, lost, seed)
    fleet.run(duration_s)
    seconds = duration_s - WARM_UP_S
    capacity = LINK_BYTES_PER_S * seconds
    first = int(WARM_UP_S / WINDOW_S)
    sent = [
        n for window, n in fleet.bytes_by_window.items() if window >= first
    ]
    settled = [
        body
        for body in fleet.bodies
        if body.at_s >= WARM_UP_S and body.at_s < duration_s - DEADLINE_S
    ]
    in_time = [body for body in settled if body.passed_at_s is not None]
    timely_bytes = sum(
        body.size
        for body in fleet.bodies
        if body.passed_at_s is not None
        and WARM_UP_S <= body.passed_at_s < duration_s
    )
    count = len(fleet.bodies) + fleet.kept_out
    return Figures(
        load=load,
        fault="lost" if lost else "-",
        way=way,
        use=sum(sent) / capacity,
        goodput=timely_bytes / capacity,
        peak=max(sent)
        / (
            LINK_BYTES_PER_S * WINDOW_S
            + link_burst(LINK_BYTES_PER_S) * TOKEN_BYTES
        ),
        small_p50_ms=_quantile_ms(in_time, 0.5, 2_000),
        small_p99_ms=_quantile_ms(in_time, 0.99, 2_000),
        large_p99_ms=_quantile_ms(in_time, 0.99, 2_000_000),
        queue_ms=fleet.queue_s * 1000,
        kept_out=fleet.kept_out / count,
        late=1 - len(in_time) / max(1, len(settled)),
    )


def _quantile_ms(bodies: list[_Body], part: float, size: int) -> float:
    times_s = [
        (body.passed_at_s or 0.0) - body.at_s
        for body in bodies
        if body.size == size
    ]
    return 1000 * quantile(times_s, part) if times_s else float("nan")


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(
        "use, goodput: bytes on the link, bytes of bodies that passed in time"
        " / capacity\n"
        "peak: most bytes given to the link in 0.1 s / (rate x 0.1 s + burst)"
        "\nsmall, large: time from arrival to passed, of 2 KB and 2 MB, ms\n"
        "queue: longest queue in the network itself, ms\n"
        "kept out, late: share of all bodies; share of those begun\n"
        "load fault way       use goodput  peak small50 small99 large99"
        "   queue kept-out   late"
    )
    rows = []
    for lost in (False, True):
        for load in (0.5, 0.9, 1.5, 3.0):
            for way in (LIMITED, UNLIMITED):
                row = run(way, load, lost, options.seconds, options.seed)
                rows.append(asdict(row))
                verdict = ""
                if way == LIMITED:
                    verdict = "  peak <= 1: " + (
                        "ok" if row.peak <= 1 else "MISSED"
                    )
                print(
                    f"{row.load:4.1f} {row.fault:5} {row.way:8}"
                    f" {row.use:5.3f}  {row.goodput:5.3f} {row.peak:5.2f}"
                    f" {row.small_p50_ms:7.1f} {row.small_p99_ms:7.0f}"
                    f" {row.large_p99_ms:7.0f} {row.queue_ms:7.0f}"
                    f"   {row.kept_out:6.4f} {row.late:6.4f}{verdict}",
                    flush=True,
                )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
