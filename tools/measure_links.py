"""Measures the limits of a link in virtual time beside no limit.

Two regions exchange bodies over one link in one direction: instances of the
first send requests' bodies to targets of the second, and instances of the
second read answers of targets of the first. Bodies have 2 KB (70%), 64 KB
(20%) or 2 MB (10%); a body that has not passed after 5 s is late. A request
that finds no room for a usual body waits up to 1 s and is then kept out, as
a request is that finds no target; answers are charged whatever the room is.
Reads of one body follow each other as the link takes them. The exchange of
budgets passes between all instances with 12 ms of delay. With a lost region,
the three instances of the third region die after 8 s; they own parts of the
link. ``--json FILE`` writes the figures to a file.
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
SIZES = ((0.7, 2_000), (0.2, 64_000), (0.1, 2_000_000))
MEAN_BYTES = sum(share * size for share, size in SIZES)
DEADLINE_S = 5.0
ROOM_WAIT_S = 1.0
POLL_S = 0.05
WARM_UP_S = 6.0
LOST_AT_S = 8.0
WINDOW_S = 0.1
LIMITED, UNLIMITED = "limited", "no limit"
# Instances 0 to 3 are in the first region, 4 to 7 in the second.
SENDERS, READERS, LOST = (0, 1, 2, 3), (4, 5, 6, 7), (8, 9, 10)


@dataclass(kw_only=True, eq=False)
class _Body:
    size: int
    at_s: float
    line: "_Line"
    left: int
    reserved: int = 0
    waited_s: float = 0.0
    asked_s: float = 0.0
    is_retry: bool = False
    done_s: float | None = None
    ended: bool = False


@dataclass(kw_only=True, eq=False)
class _Line:
    """One instance's part of the link, with the bodies that wait."""

    meter: LinkMeter
    shards: tuple[int, ...]
    instance: Any
    sizes: BodySizes = field(default_factory=BodySizes)
    waiting: deque[_Body] = field(default_factory=deque)
    wake_s: float = float("inf")
    without: int = 0


@dataclass(frozen=True, kw_only=True)
class Figures:
    """What one run shows; times in ms, shares of the link's capacity."""

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
    """Instances that pass bodies over one link."""

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
        self.windows: dict[int, int] = {}
        self.queue_s = 0.0
        room = link_burst(LINK_BYTES_PER_S) * TOKEN_BYTES // 16
        self.room_bytes = room
        self.lines = [self._line(k, parts) for k in range(INSTANCES)]
        for places, is_request in ((SENDERS, True), (READERS, False)):
            per_s = load * LINK_BYTES_PER_S / MEAN_BYTES / 2
            self._arrivals(per_s, places, is_request)
        self._every(0.25, self._state_wants)
        if lost:
            for index in LOST:
                self.at(LOST_AT_S, lambda i=index: self.kill(i))

    def _own(self, shard: int, instance: Any, epoch: int) -> None:
        super()._own(shard, instance, epoch)
        if epoch > 1:
            return
        # The first epoch has no earlier grants. Two of the four parts
        # belong to instances that the loss of a region ends.
        place = LOST[len(self.owners) // 2] if len(self.owners) % 2 else 0
        owner = BudgetOwner(
            shard=shard,
            lease=SimpleNamespace(epoch=1, is_valid=lambda now_s: True),
            started_at_s=-1e6,
            wait_s=0.0,
        )
        owner.configure(0.0, self.budgets.values())
        self.owners[shard] = (self.instances[place], owner)

    def _line(self, index: int, parts: list[Any]) -> _Line:
        instance = self.instances[index]
        first = index % len(parts)
        ordered = parts[first:] + parts[:first]
        return _Line(
            meter=LinkMeter(
                [
                    LinkPart(instance.takers[shard_of(p.name)], p.name)
                    for p in ordered
                ]
            ),
            shards=tuple(shard_of(p.name) for p in ordered),
            instance=instance,
        )

    def _every(self, period_s: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(period_s, again)

        self.at(period_s, again)

    def _state_wants(self) -> None:
        for index in SENDERS + READERS:
            line = self.lines[index]
            usual = line.sizes.request_bytes("s")
            backlog = (
                len(line.waiting) * MAX_CARRY_BYTES + line.without * usual
            )
            line.meter.add_demand(self.now_s, 1 + backlog // TOKEN_BYTES)

    def _arrivals(
        self, per_s: float, places: tuple[int, ...], is_request: bool
    ) -> None:
        def again() -> None:
            self.at(self.rng.expovariate(per_s), again)
            sizes = [size for _, size in SIZES]
            shares = [share for share, _ in SIZES]
            (size,) = self.rng.choices(sizes, shares)
            line = self.lines[self.rng.choice(places)]
            body = _Body(size=size, at_s=self.now_s, line=line, left=size)
            self.offered += size
            if is_request and self.is_limited:
                line.without += 1
                self._find_room(body)
            else:
                self._begin(body)

        self.at(self.rng.expovariate(per_s), again)

    def _find_room(self, body: _Body) -> None:
        line = body.line
        usual = min(line.sizes.request_bytes("s"), self.room_bytes)
        if not line.waiting and line.meter.reserve(self.now_s, usual):
            body.reserved = usual
            line.without -= 1
            self._begin(body)
        elif self.now_s - body.at_s >= ROOM_WAIT_S:
            line.without -= 1
            self.kept_out += 1
        else:
            self.at(POLL_S, lambda: self._find_room(body))
        self._poke_line(line)

    def _begin(self, body: _Body) -> None:
        self.bodies.append(body)
        self._offer(body)

    def _offer(self, body: _Body) -> None:
        """Offer the next read of a body."""
        line = body.line
        if self.now_s - body.at_s >= DEADLINE_S:
            self._end(body)
            return
        if not self.is_limited:
            self._pass(body)
            return
        size = min(READ_BYTES, body.left)
        reserved = min(size, body.reserved)
        if (not line.waiting or reserved == size) and line.meter.charge(
            self.now_s, size, reserved_bytes=reserved
        ):
            body.reserved -= reserved
            self._pass(body)
        else:
            body.is_retry = not line.waiting
            body.asked_s = self.now_s
            line.waiting.append(body)
            self._serve_line(line)
        self._poke_line(line)

    def _serve_line(self, line: _Line) -> None:
        while line.waiting:
            body = line.waiting[0]
            size = min(READ_BYTES, body.left)
            reserved = min(size, body.reserved)
            if self.now_s - body.at_s >= DEADLINE_S:
                line.waiting.popleft()
                line.meter.release(self.now_s)
                self._end(body)
                continue
            if not line.meter.charge(
                self.now_s,
                size,
                reserved_bytes=reserved,
                is_retry=body.is_retry,
            ):
                body.is_retry = True
                break
            line.waiting.popleft()
            body.reserved -= reserved
            body.waited_s += self.now_s - body.asked_s
            self._pass(body)
        if line.waiting and line.wake_s <= self.now_s + 1e-9:
            line.wake_s = float("inf")
        if line.waiting and line.wake_s == float("inf"):
            wait_s = min(POLL_S, max(0.001, line.meter.wait_s(self.now_s)))
            line.wake_s = self.now_s + wait_s
            self.at(wait_s, lambda: self._wake(line))

    def _wake(self, line: _Line) -> None:
        line.wake_s = float("inf")
        self._serve_line(line)
        self._poke_line(line)

    def _pass(self, body: _Body) -> None:
        """Put one read on the link; the next one follows when it has left."""
        size = min(READ_BYTES, body.left)
        body.left -= size
        window = int(self.now_s / WINDOW_S)
        self.windows[window] = self.windows.get(window, 0) + size
        left_s = self.link.schedule_send(self.now_s, size) - self.now_s
        if self.now_s >= WARM_UP_S:
            self.queue_s = max(self.queue_s, left_s)
        if body.left:
            self.at(left_s, lambda: self._offer(body))
        else:
            body.done_s = self.now_s + left_s
            self._end(body)

    def _end(self, body: _Body) -> None:
        body.ended = True
        body.line.meter.release(self.now_s, body.reserved)
        if body.done_s is not None:
            body.line.sizes.record("s", body.size, None)

    def _accept(self, instance: Any, reply: Any) -> None:
        super()._accept(instance, reply)
        line = self.lines[instance.index]
        if line.waiting:
            self._serve_line(line)

    def _poke_line(self, line: _Line) -> None:
        for shard in line.shards:
            self._poke(line.instance, shard)


def run(
    way: str, load: float, lost: bool, duration_s: float, seed: int
) -> Figures:
    """Return the figures of one run."""
    fleet = LinkFleet(way, load, lost, seed)
    fleet.run(duration_s)
    seconds = duration_s - WARM_UP_S
    capacity = LINK_BYTES_PER_S * seconds
    first = int(WARM_UP_S / WINDOW_S)
    sent = [n for window, n in fleet.windows.items() if window >= first]
    settled = [
        body
        for body in fleet.bodies
        if body.at_s >= WARM_UP_S and body.at_s < duration_s - DEADLINE_S
    ]
    in_time = [body for body in settled if body.done_s is not None]
    timely = sum(
        body.size
        for body in fleet.bodies
        if body.done_s is not None and WARM_UP_S <= body.done_s < duration_s
    )
    count = len(fleet.bodies) + fleet.kept_out
    return Figures(
        load=load,
        fault="lost" if lost else "-",
        way=way,
        use=sum(sent) / capacity,
        goodput=timely / capacity,
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
        (body.done_s or 0.0) - body.at_s
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
