"""Paces the bodies that pass between this instance and other regions.

Bodies that lack tokens wait in the order of their reads, one read of each
body at a time, so that a large body does not hold up small ones for longer
than its current read.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping

import eventlet
from eventlet.event import Event

from verbenad.budget_handle import handles_in_order
from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import link_burst, link_bytes_per_s, link_name
from verbenad.budget_plan import link_parts as plan_link_parts
from verbenaworks.body_sizes import BodySizes
from verbenaworks.choice_result import ExclusionReason
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.link_meter import (
    MAX_CARRY_BYTES,
    TOKEN_BYTES,
    LinkMeter,
    LinkPart,
)
from verbenaworks.link_reservation import BodyReservation, LinkReservation

# A waiting body looks again at this interval, also whether its caller has
# gone.
_POLL_S = 0.05
_MIN_WAIT_S = 0.001
# A taker seldom holds more of a link's burst than this part of it, so the
# room asked for a large body stops there.
_ROOM_PART = 16


class _Line:
    """One link with the bodies that wait for its tokens."""

    def __init__(
        self, meter: LinkMeter, shards: tuple[int, ...], is_back: bool
    ) -> None:
        self.meter = meter
        self.is_back = is_back
        self.shards = shards
        self.room_bytes = 0
        self.without_room: set[str] = set()
        self.waiting: deque[Event] = deque()
        self.waits = 0
        self.waited_s = 0.0
        self.timeouts = 0


class LinkLimiter:
    """Links from and to the region of this instance; a ``LinkPool``.

    :param instance: name of this instance; decides with which part of a
        link's budget it begins.
    """

    def __init__(
        self,
        *,
        instance: str,
        region: str,
        loop: BudgetLoop,
        now_s: Callable[[], float],
    ) -> None:
        self._instance = instance
        self._region = region
        self._loop = loop
        self._now_s = now_s
        self._lines: dict[str, _Line] = {}
        self.sizes = BodySizes()

    def set_config(self, config: CompiledConfig) -> None:
        """Take over the links of a configuration."""
        here = self._region
        if here not in config.regions:
            return
        # The line of a region that was removed stays: attempts still have
        # reservations there, and its budget brings no tokens.
        lines = self._lines
        for region in config.regions:
            if region == here:
                continue
            for source, target in ((here, region), (region, here)):
                name = link_name(source, target)
                line = self._lines.get(name) or self._line(
                    config, source, target
                )
                burst = link_burst(link_bytes_per_s(config, source, target))
                line.room_bytes = burst * TOKEN_BYTES // _ROOM_PART
                lines[name] = line

    def exclusion_reason(
        self, service: str, region: str
    ) -> ExclusionReason | None:
        """Return which link lacks tokens for a usual body, or none.

        Bodies that wait come before requests that might still run in
        another region.
        """
        now_s = self._now_s()
        out, back = self._pair(region)
        # Both are asked, so that one exchange brings tokens for both.
        sizes = self.sizes
        has_back = _has_room(back, now_s, service, sizes.answer_bytes(service))
        if not _has_room(out, now_s, service, sizes.request_bytes(service)):
            return ExclusionReason.LINK_FULL
        return None if has_back else ExclusionReason.LINK_BACK_FULL

    def take(
        self, service: str, region: str
    ) -> LinkReservation | ExclusionReason:
        """Reserve tokens for the bodies of one attempt."""
        why = self.exclusion_reason(service, region)
        if why is not None:
            return why
        now_s = self._now_s()
        out, back = self._pair(region)
        hold = LinkReservation(service=service, region=region)
        for line, body, usual in (
            (out, hold.request, self.sizes.request_bytes(service)),
            (back, hold.answer, self.sizes.answer_bytes(service)),
        ):
            if line is not None:
                body.reserved_bytes = min(usual, line.room_bytes)
                line.meter.reserve(now_s, body.reserved_bytes)
        return hold

    def release(self, hold: LinkReservation, *, completed: bool) -> None:
        """Give up what is left; learn the sizes of a completed attempt."""
        now_s = self._now_s()
        out, back = self._pair(hold.region)
        for line, body in (out, hold.request), (back, hold.answer):
            if line is not None:
                line.meter.release(now_s, body.reserved_bytes)
            body.reserved_bytes = 0
        if completed:
            self.sizes.record(
                hold.service,
                hold.request.charged_bytes,
                hold.answer.charged_bytes,
            )

    def charge_request(
        self,
        hold: LinkReservation,
        size_bytes: int,
        until_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        """Wait for the tokens of a part of a request's body.

        :param until_s: monotonic time at which the wait ends without them.
        """
        line, _ = self._pair(hold.region)
        return self._charge(
            line, hold, hold.request, size_bytes, until_s, is_cancelled
        )

    def charge_answer(
        self,
        hold: LinkReservation,
        size_bytes: int,
        until_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        """Wait for the tokens of a part of an answer's body."""
        _, line = self._pair(hold.region)
        return self._charge(
            line, hold, hold.answer, size_bytes, until_s, is_cancelled
        )

    def update_demand(
        self, regions: Iterable[str], waiting: Mapping[str, int]
    ) -> None:
        """State the demand of all links; call it every ``DEMAND_PERIOD_S``.

        :param regions: other regions that may get requests; small bodies
            then find tokens of their links without an exchange.
        :param waiting: number of waiting requests by service.
        """
        now_s = self._now_s()
        extra: Counter[str] = Counter()
        for region in regions:
            extra[link_name(self._region, region)] += 1
            extra[link_name(region, self._region)] += 1
        for name, line in self._lines.items():
            # Neither requests without room nor bodies that wait with their
            # next read have charged what they need.
            backlog = len(line.waiting) * MAX_CARRY_BYTES
            for service in line.without_room:
                usual = self.sizes.request_bytes(service)
                if line.is_back:
                    usual = self.sizes.answer_bytes(service)
                backlog += waiting.get(service, 0) * usual
            line.without_room.clear()
            tokens = extra[name] + -(-backlog // TOKEN_BYTES)
            if tokens:
                line.meter.add_demand(now_s, tokens)

    def granted(self) -> None:
        """Wake waiting bodies; call it after each accepted reply."""
        for line in self._lines.values():
            _wake_first(line)

    def waiting(self) -> int:
        """Return how many bodies wait."""
        return sum(len(line.waiting) for line in self._lines.values())

    def charged_bytes(self) -> Mapping[str, float]:
        """Return the bytes charged here by link."""
        return self._by_link(lambda line: line.meter.charged_bytes)

    def waits(self) -> Mapping[str, float]:
        """Return how many reads of bodies had to wait, by link."""
        return self._by_link(lambda line: line.waits)

    def waited_s(self) -> Mapping[str, float]:
        """Return the time for which reads of bodies waited, by link."""
        return self._by_link(lambda line: line.waited_s)

    def timeouts(self) -> Mapping[str, float]:
        """Return how many bodies ended because they waited too long."""
        return self._by_link(lambda line: line.timeouts)

    def _by_link(self, read: Callable[[_Line], float]) -> Mapping[str, float]:
        return {name: read(line) for name, line in self._lines.items()}

    def _pair(self, region: str) -> tuple[_Line | None, _Line | None]:
        """Return the links to and from a region; none if it was removed."""
        get = self._lines.get
        return (
            get(link_name(self._region, region)),
            get(link_name(region, self._region)),
        )

    def _charge(
        self,
        line: _Line | None,
        hold: LinkReservation,
        body: BodyReservation,
        size_bytes: int,
        until_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        reserved_bytes = min(size_bytes, body.reserved_bytes)
        if (
            line is not None
            and size_bytes > 0
            and not self._pass(line, size_bytes, reserved_bytes)
            and not self._wait_charged(
                line, hold, size_bytes, reserved_bytes, until_s, is_cancelled
            )
        ):
            return False
        body.reserved_bytes -= reserved_bytes
        body.charged_bytes += size_bytes
        return True

    def _pass(self, line: _Line, size_bytes: int, reserved_bytes: int) -> bool:
        """Charge bytes at once, unless other bodies come first."""
        # What was reserved may pass bodies that wait for more.
        if line.waiting and reserved_bytes != size_bytes:
            return False
        return line.meter.charge(
            self._now_s(), size_bytes, reserved_bytes=reserved_bytes
        )

    def _wait_charged(
        self,
        line: _Line,
        hold: LinkReservation,
        size_bytes: int,
        reserved_bytes: int,
        until_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        """Wait in line, and note for how long."""
        began_s = self._now_s()
        try:
            return self._wait(
                line, size_bytes, reserved_bytes, until_s, is_cancelled
            )
        finally:
            waited_s = self._now_s() - began_s
            hold.waited_s += waited_s
            line.waited_s += waited_s

    def _wait(
        self,
        line: _Line,
        size_bytes: int,
        reserved_bytes: int,
        until_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        event = Event()
        # The demand of the first in line was counted by _charge.
        is_retry = not line.waiting
        line.waiting.append(event)
        line.waits += 1
        try:
            while (now_s := self._now_s()) < until_s and not is_cancelled():
                if line.waiting[0] is event:
                    if line.meter.charge(
                        now_s,
                        size_bytes,
                        reserved_bytes=reserved_bytes,
                        is_retry=is_retry,
                    ):
                        return True
                    is_retry = True
                    for shard in line.shards:
                        self._loop.send_if_due(shard)
                event = self._sleep(line, event, until_s - now_s)
            line.timeouts += not is_cancelled()
            return False
        finally:
            was_first = line.waiting[0] is event
            line.waiting.remove(event)
            if was_first:
                line.meter.release(self._now_s())
                _wake_first(line)

    def _sleep(self, line: _Line, event: Event, left_s: float) -> Event:
        """Wait for a sign; return the event that stands for the body next."""
        wait_s = min(_POLL_S, left_s)
        if line.waiting[0] is event:
            wait_s = min(
                wait_s, max(_MIN_WAIT_S, line.meter.wait_s(self._now_s()))
            )
        with eventlet.Timeout(wait_s, False):
            event.wait()
        if not event.ready():
            return event
        renewed = Event()
        line.waiting[line.waiting.index(event)] = renewed
        return renewed

    def _line(self, config: CompiledConfig, source: str, target: str) -> _Line:
        handles = handles_in_order(
            self._loop,
            plan_link_parts(config, source, target),
            f"{self._instance}/{link_name(source, target)}",
        )
        return _Line(
            LinkMeter([LinkPart(h.taker, h.name) for h in handles]),
            tuple(handle.shard for handle in handles),
            is_back=target == self._region,
        )


def _has_room(
    line: _Line | None, now_s: float, service: str, size_bytes: int
) -> bool:
    if line is None:
        return True
    size_bytes = min(size_bytes, line.room_bytes)
    if line.meter.has_tokens(now_s, size_bytes) and not line.waiting:
        return True
    line.without_room.add(service)
    return False


def _wake_first(line: _Line) -> None:
    if line.waiting and not line.waiting[0].ready():
        line.waiting[0].send(None)
