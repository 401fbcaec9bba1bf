"""Limits the rate of bodies on the links to and from other regions.

Reads that find no tokens wait in order of arrival. Each body waits with one
read at a time, so a large body delays a small one by its current read at
most.
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

# Interval at which a waiting body checks for tokens and for cancellation.
_POLL_S = 0.05
_MIN_WAIT_S = 0.001
# An instance seldom holds more than this fraction (1/16) of a link's burst,
# so a reservation for a large body is limited to it.
_MAX_RESERVATION_DIVISOR = 16


class _Link:
    """A link and the bodies that wait for its tokens."""

    def __init__(
        self, meter: LinkMeter, shards: tuple[int, ...], is_back: bool
    ) -> None:
        self.meter = meter
        self.is_back = is_back
        self.shards = shards
        self.max_reservation_bytes = 0
        self.services_without_tokens: set[str] = set()
        self.waiting: deque[Event] = deque()
        self.waits = 0
        self.waited_s = 0.0
        self.timeouts = 0


class LinkLimiter:
    """Links to and from the region of this instance; a ``LinkPool``.

    :param instance: name of this instance; decides which part of a link's
        budget it uses first.
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
        self._links: dict[str, _Link] = {}
        self.sizes = BodySizes()

    def set_config(self, config: CompiledConfig) -> None:
        """Apply the links of a configuration."""
        here = self._region
        if here not in config.regions:
            return
        # The links of a removed region are kept, because attempts may still
        # have reservations on them. Their budgets grant no more tokens.
        links = self._links
        for region in config.regions:
            if region == here:
                continue
            for source, target in ((here, region), (region, here)):
                name = link_name(source, target)
                link = self._links.get(name) or self._make_link(
                    config, source, target
                )
                burst = link_burst(link_bytes_per_s(config, source, target))
                link.max_reservation_bytes = (
                    burst * TOKEN_BYTES // _MAX_RESERVATION_DIVISOR
                )
                links[name] = link

    def exclusion_reason(
        self, service: str, region: str
    ) -> ExclusionReason | None:
        """Return which link lacks tokens for a body of usual size, or None.

        A link on which bodies wait lacks tokens: these bodies take precedence
        over requests that can still run in another region.
        """
        now_s = self._now_s()
        out, back = self._links_of(region)
        # Both links are checked, so that one exchange brings tokens for both.
        sizes = self.sizes
        has_back_tokens = _has_tokens(
            back, now_s, service, sizes.answer_bytes(service)
        )
        if not _has_tokens(out, now_s, service, sizes.request_bytes(service)):
            return ExclusionReason.LINK_FULL
        return None if has_back_tokens else ExclusionReason.LINK_BACK_FULL

    def take(
        self, service: str, region: str
    ) -> LinkReservation | ExclusionReason:
        """Reserve tokens for the bodies of one attempt."""
        why = self.exclusion_reason(service, region)
        if why is not None:
            return why
        now_s = self._now_s()
        out, back = self._links_of(region)
        reservation = LinkReservation(service=service, region=region)
        for link, body, usual_bytes in (
            (out, reservation.request, self.sizes.request_bytes(service)),
            (back, reservation.answer, self.sizes.answer_bytes(service)),
        ):
            if link is not None:
                body.reserved_bytes = min(
                    usual_bytes, link.max_reservation_bytes
                )
                link.meter.reserve(now_s, body.reserved_bytes)
        return reservation

    def release(
        self, reservation: LinkReservation, *, completed: bool
    ) -> None:
        """Release unused tokens; record the sizes of a completed attempt."""
        now_s = self._now_s()
        out, back = self._links_of(reservation.region)
        for link, body in (
            (out, reservation.request),
            (back, reservation.answer),
        ):
            if link is not None:
                link.meter.release(now_s, body.reserved_bytes)
            body.reserved_bytes = 0
        if completed:
            self.sizes.record(
                reservation.service,
                reservation.request.charged_bytes,
                reservation.answer.charged_bytes,
            )

    def charge_request(
        self,
        reservation: LinkReservation,
        size_bytes: int,
        deadline_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        """Wait for the tokens of the next bytes of a request body.

        :param deadline_s: monotonic time at which the wait times out.
        """
        link, _ = self._links_of(reservation.region)
        return self._charge(
            link,
            reservation,
            reservation.request,
            size_bytes,
            deadline_s,
            is_cancelled,
        )

    def charge_answer(
        self,
        reservation: LinkReservation,
        size_bytes: int,
        deadline_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        """Wait for the tokens of the next bytes of a response body."""
        _, link = self._links_of(reservation.region)
        return self._charge(
            link,
            reservation,
            reservation.answer,
            size_bytes,
            deadline_s,
            is_cancelled,
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
        for name, link in self._links.items():
            # Requests that found no tokens and reads that still wait have
            # not been charged, so the meter does not know their demand.
            backlog = len(link.waiting) * MAX_CARRY_BYTES
            for service in link.services_without_tokens:
                usual_bytes = self.sizes.request_bytes(service)
                if link.is_back:
                    usual_bytes = self.sizes.answer_bytes(service)
                backlog += waiting.get(service, 0) * usual_bytes
            link.services_without_tokens.clear()
            tokens = extra[name] + -(-backlog // TOKEN_BYTES)
            if tokens:
                link.meter.add_demand(now_s, tokens)

    def granted(self) -> None:
        """Wake waiting bodies; call it after each accepted reply."""
        for link in self._links.values():
            _wake_first(link)

    def waiting(self) -> int:
        """Return how many bodies wait."""
        return sum(len(link.waiting) for link in self._links.values())

    def charged_bytes(self) -> Mapping[str, float]:
        """Return the bytes that this instance charged, by link."""
        return self._by_link(lambda link: link.meter.charged_bytes)

    def waits(self) -> Mapping[str, float]:
        """Return how many reads of bodies had to wait, by link."""
        return self._by_link(lambda link: link.waits)

    def waited_s(self) -> Mapping[str, float]:
        """Return the time for which reads of bodies waited, by link."""
        return self._by_link(lambda link: link.waited_s)

    def timeouts(self) -> Mapping[str, float]:
        """Return how many bodies ended because they waited too long."""
        return self._by_link(lambda link: link.timeouts)

    def _by_link(self, read: Callable[[_Link], float]) -> Mapping[str, float]:
        return {name: read(link) for name, link in self._links.items()}

    def _links_of(self, region: str) -> tuple[_Link | None, _Link | None]:
        """Return the links to and from a region; None for unknown links."""
        get = self._links.get
        return (
            get(link_name(self._region, region)),
            get(link_name(region, self._region)),
        )

    def _charge(
        self,
        link: _Link | None,
        reservation: LinkReservation,
        body: BodyReservation,
        size_bytes: int,
        deadline_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        reserved_bytes = min(size_bytes, body.reserved_bytes)
        if (
            link is not None
            and size_bytes > 0
            and not self._charge_now(link, size_bytes, reserved_bytes)
            and not self._charge_after_wait(
                link,
                reservation,
                size_bytes,
                reserved_bytes,
                deadline_s,
                is_cancelled,
            )
        ):
            return False
        body.reserved_bytes -= reserved_bytes
        body.charged_bytes += size_bytes
        return True

    def _charge_now(
        self, link: _Link, size_bytes: int, reserved_bytes: int
    ) -> bool:
        """Charge bytes without waiting, unless other bodies come first."""
        # Reserved bytes need not wait behind bodies that lack tokens.
        if link.waiting and reserved_bytes != size_bytes:
            return False
        return link.meter.charge(
            self._now_s(), size_bytes, reserved_bytes=reserved_bytes
        )

    def _charge_after_wait(
        self,
        link: _Link,
        reservation: LinkReservation,
        size_bytes: int,
        reserved_bytes: int,
        deadline_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        """Wait for the tokens and record the waiting time."""
        began_s = self._now_s()
        try:
            return self._wait(
                link, size_bytes, reserved_bytes, deadline_s, is_cancelled
            )
        finally:
            waited_s = self._now_s() - began_s
            reservation.waited_s += waited_s
            link.waited_s += waited_s

    def _wait(
        self,
        link: _Link,
        size_bytes: int,
        reserved_bytes: int,
        deadline_s: float,
        is_cancelled: Callable[[], bool],
    ) -> bool:
        event = Event()
        # If no other body waits, _charge_now has counted the demand.
        is_retry = not link.waiting
        link.waiting.append(event)
        link.waits += 1
        try:
            while (now_s := self._now_s()) < deadline_s and not is_cancelled():
                if link.waiting[0] is event:
                    if link.meter.charge(
                        now_s,
                        size_bytes,
                        reserved_bytes=reserved_bytes,
                        is_retry=is_retry,
                    ):
                        return True
                    is_retry = True
                    for shard in link.shards:
                        self._loop.send_if_due(shard)
                event = self._sleep(link, event, deadline_s - now_s)
            link.timeouts += not is_cancelled()
            return False
        finally:
            was_first = link.waiting[0] is event
            link.waiting.remove(event)
            if was_first:
                link.meter.release(self._now_s())
                _wake_first(link)

    def _sleep(self, link: _Link, event: Event, left_s: float) -> Event:
        """Wait for a wake-up; return the event to wait for next."""
        wait_s = min(_POLL_S, left_s)
        if link.waiting[0] is event:
            wait_s = min(
                wait_s, max(_MIN_WAIT_S, link.meter.wait_s(self._now_s()))
            )
        with eventlet.Timeout(wait_s, False):
            event.wait()
        if not event.ready():
            return event
        renewed = Event()
        link.waiting[link.waiting.index(event)] = renewed
        return renewed

    def _make_link(
        self, config: CompiledConfig, source: str, target: str
    ) -> _Link:
        handles = handles_in_order(
            self._loop,
            plan_link_parts(config, source, target),
            f"{self._instance}/{link_name(source, target)}",
        )
        return _Link(
            LinkMeter([LinkPart(h.client, h.name) for h in handles]),
            tuple(handle.shard for handle in handles),
            is_back=target == self._region,
        )


def _has_tokens(
    link: _Link | None, now_s: float, service: str, size_bytes: int
) -> bool:
    if link is None:
        return True
    size_bytes = min(size_bytes, link.max_reservation_bytes)
    if link.meter.has_tokens(now_s, size_bytes) and not link.waiting:
        return True
    link.services_without_tokens.add(service)
    return False


def _wake_first(link: _Link) -> None:
    if link.waiting and not link.waiting[0].ready():
        link.waiting[0].send(None)
