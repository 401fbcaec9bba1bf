"""Rate limits of bodies between regions, with a virtual clock."""

from collections.abc import Callable

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fake_budget_loop import FakeLoop
from link_config import RATE, config_with_links
from verbenad.budget_plan import LINK_PARTS, link_parts, plan_budgets
from verbenad.link_limiter import LinkLimiter
from verbenaworks.budget_spec import shard_of
from verbenaworks.choice_result import ExclusionReason
from verbenaworks.link_meter import TOKEN_BYTES
from verbenaworks.link_reservation import LinkReservation

# The burst of a link is at least 64 tokens.
BURST = 64 * TOKEN_BYTES
STEP_S = 0.05


class _World:
    """A link limiter with a clock that only the test advances."""

    def __init__(self) -> None:
        self.clock = [100.0]
        config = config_with_links()
        self.loop = FakeLoop(plan_budgets(config), self.clock)
        self.limiter = LinkLimiter(
            instance="e1",
            region="near",
            loop=self.loop,  # type: ignore[arg-type]
            now_s=lambda: self.clock[0],
        )
        self.limiter.set_config(config)
        self.steps = 0
        # No instance holds tokens of a link that has not been used yet.
        for _ in range(20):
            self.limiter.exclusion_reason("s", "far")
            self.advance(STEP_S)

    def advance(self, duration_s: float) -> None:
        """Advance the clock and let waiting bodies check for tokens."""
        for _ in range(round(duration_s / STEP_S)):
            self.loop.advance(STEP_S)
            self.steps += 1
            if self.steps % 5 == 0:
                self.limiter.update_demand(["far"], {})
            self.limiter.granted()
            for _ in range(20):
                eventlet.sleep(0)

    def reservation(self) -> LinkReservation:
        return LinkReservation(service="s", region="far")

    def send(
        self,
        size: int,
        until_s: float = 1e9,
        cancelled: Callable[[], bool] = lambda: False,
    ) -> eventlet.greenthread.GreenThread:
        """Send a body in reads of 64 KiB; the result is the bytes sent."""
        return eventlet.spawn(
            _send, self.limiter, self.reservation(), size, until_s, cancelled
        )


def _send(
    limiter: LinkLimiter,
    reservation: LinkReservation,
    size: int,
    until_s: float,
    cancelled: Callable[[], bool],
) -> int:
    sent = 0
    while sent < size:
        step = min(65536, size - sent)
        if not limiter.charge_request(reservation, step, until_s, cancelled):
            break
        sent += step
    return sent


@settings(derandomize=True, max_examples=100, database=None)
@given(st.integers(1, 10**13), st.integers(1, 10**13))
def test_parts_of_a_link(rate: int, other: int) -> None:
    """Guards against a rate above the lower setting and a common owner."""
    parts = link_parts(config_with_links(rate, other), "near", "far")
    tokens = sum(part.rate_milli_per_s for part in parts) / 1000
    assert tokens * TOKEN_BYTES <= min(rate, other) * (1 + 1e-12)
    assert len({shard_of(part.name) for part in parts}) == LINK_PARTS
    assert {part.name for part in parts} <= {
        budget.name for budget in plan_budgets(config_with_links(rate, other))
    }


def test_bodies_together_keep_to_the_rate() -> None:
    """Guards against slow and large bodies that together exceed the rate."""
    world = _World()
    threads = [world.send(50_000_000) for _ in range(5)]
    began_s = world.clock[0]
    world.advance(4.0)
    charged = world.limiter.charged_bytes()["link/near/far"]
    passed_s = world.clock[0] - began_s
    assert charged <= RATE * passed_s + BURST
    # At least half of the rate must be in use, because a link that stopped
    # would also keep to the rate.
    assert charged >= RATE * passed_s / 2
    assert world.limiter.waiting() == 5
    for thread in threads:
        thread.kill()
    assert world.limiter.waiting() == 0


def test_a_small_body_waits_for_one_read_of_each_other() -> None:
    """Guards against small bodies that wait for the whole of a large one."""
    world = _World()
    large = [world.send(50_000_000) for _ in range(3)]
    world.advance(2.0)
    small = world.send(1000)
    began_s = world.clock[0]
    while not small.dead and world.clock[0] < began_s + 20:
        world.advance(STEP_S)
    # Four reads of 64 KiB at 1 MB/s take 0.26 s.
    assert small.wait() == 1000
    assert world.clock[0] - began_s <= 1.0
    for thread in large:
        thread.kill()


@pytest.mark.parametrize("is_disconnected", [False, True])
def test_a_wait_ends_at_the_deadline_or_with_the_caller(
    is_disconnected: bool,
) -> None:
    """Guards against bodies that wait forever on a full link."""
    world = _World()
    disconnects: list[bool] = []
    until_s = world.clock[0] + (1e6 if is_disconnected else 1.0)
    thread = world.send(50_000_000, until_s, lambda: bool(disconnects))
    world.advance(0.9)
    assert not thread.dead
    if is_disconnected:
        disconnects.append(True)
    world.advance(0.2)
    assert thread.dead
    assert thread.wait() < 50_000_000
    assert world.limiter.waiting() == 0
    assert world.limiter.timeouts()["link/near/far"] == (
        0 if is_disconnected else 1
    )


def test_small_bodies_after_the_choice_do_not_wait() -> None:
    """Guards against an exchange with an owner for every small body."""
    world = _World()
    for _ in range(20):
        reservation = world.limiter.take("s", "far")
        assert isinstance(reservation, LinkReservation)
        now_s = world.clock[0]
        assert world.limiter.charge_request(
            reservation, 900, now_s, lambda: False
        )
        assert world.limiter.charge_answer(
            reservation, 9000, now_s, lambda: False
        )
        world.limiter.release(reservation, completed=True)
        world.advance(0.25)
    assert world.limiter.waits()["link/near/far"] == 0
    assert world.limiter.sizes.request_bytes("s") < 16384


def test_a_full_link_has_no_room_for_a_spill() -> None:
    """Guards against choosing a link on which bodies already wait."""
    world = _World()
    assert world.limiter.exclusion_reason("s", "far") is None
    thread = world.send(50_000_000)
    world.advance(1.0)
    assert (
        world.limiter.exclusion_reason("s", "far") is ExclusionReason.LINK_FULL
    )
    assert world.limiter.take("s", "far") is ExclusionReason.LINK_FULL
    thread.kill()
    for _ in range(20):
        world.limiter.exclusion_reason("s", "far")
        world.advance(STEP_S)
    assert world.limiter.exclusion_reason("s", "far") is None
