"""Health probes whose results the instances share."""

from random import Random
from typing import Any

import eventlet
import pytest

from choice_fakes import FakeUnits, chooser
from health_harness import fleet_members, fleet_targets
from verbenad.bus import Sender
from verbenad.forwarder import Forwarder
from verbenad.target_prober import TICK_S, TargetProber
from verbenad.upstream_pool import UpstreamPool
from verbenaworks import decode
from verbenaworks.control_record import InstanceId
from verbenaworks.health_messages import (
    HealthChange,
    HealthNews,
    HealthTaken,
    LoadBatch,
    SharedLoad,
)
from verbenaworks.health_sender import health_code
from verbenaworks.load_report import Health
from verbenaworks.target import TargetInfo
from verbenaworks.target_stats import REFUSAL_HOLD_S, LeavingSignal


class _Prober(TargetProber):
    """A prober whose probes get the response that the test sets."""

    health = b'{"status": "ok"}'
    paths: list[str]

    def _get(self, target: TargetInfo, path: str) -> tuple[int, bytes]:
        self.paths.append(path)
        return 200, self.health if path == "/health" else b'{"in_flight": 4}'


class _Bus:
    """Records handlers and sent messages."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.last_received_s: dict[str, float] = {}
        self.handlers: dict[type, Any] = {}
        self.sent: list[tuple[str, Any]] = []

    def subscribe(self, message_type: type, handler: Any) -> None:
        """Record a handler."""
        self.handlers[message_type] = handler

    def send_encoded(self, address: str, body: bytes, _type: type) -> None:
        """Record a message."""
        self.sent.append((address, decode(body)))


class _World:
    """One prober among eleven instances and one target."""

    def __init__(self, name: str) -> None:
        self.now_s = 100.0
        self.bus = _Bus(name)
        self.target = fleet_targets(1, 3, 6)[0]
        self.choice = chooser(FakeUnits())
        self.choice.set_targets(self.now_s, "s0", [self.target])
        self.changed: list[str] = []
        self.members = fleet_members(11, 3, 6)
        self.paths: list[str] = []
        self.prober = _Prober(
            instance=InstanceId(name=name, incarnation=1),
            bus=self.bus,  # type: ignore[arg-type]
            choice=self.choice,
            forwarder=Forwarder(UpstreamPool(now_s=lambda: self.now_s)),
            connection_limit=lambda _: 1,
            now_s=lambda: self.now_s,
            random=Random(1),
            on_change=self.changed.append,
        )
        self.prober.paths = self.paths
        self.prober.set_members(self.members)
        self.prober.set_targets([self.target], {self.target.name})

    def run(self, duration_s: float) -> None:
        """Advance the clock while all members stay reachable."""
        for _ in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            for member in self.members:
                self.bus.last_received_s[member.name] = self.now_s
            self.prober.tick()
            eventlet.sleep(0)

    def receive(self, message: Any, sender: str = "i0000") -> None:
        """Deliver a message."""
        self.bus.handlers[type(message)](
            Sender(name=sender, address=sender), message
        )

    @property
    def leaving_signals(self) -> int:
        """Return the signals that the target is leaving."""
        return self.choice.stats("s0", self.target.name).leaving_signals


def _world(*, on_duty: bool) -> _World:
    for member in fleet_members(11, 3, 6):
        world = _World(member.name)
        world.run(3.0)
        if bool(world.paths) == on_duty:
            return world
    raise AssertionError("no such instance")


def _news(world: _World, seq: int, health: Health) -> HealthNews:
    change = HealthChange(
        target=world.target.name, seq=seq, health=health_code(health)
    )
    return HealthNews(origin="i0000", incarnation=9**15, changes=(change,))


def test_a_prober_tells_all_of_a_leaving_target() -> None:
    """Guards against a leaving signal that the prober does not share."""
    world = _world(on_duty=True)
    world.prober.health = b'{"status": "leaving"}'
    world.run(2.0)
    notified = {a for a, m in world.bus.sent if isinstance(m, HealthNews)}
    assert notified == {m.name for m in world.members} - {world.bus.address}
    assert world.leaving_signals == LeavingSignal.HEALTH
    assert world.prober.unacknowledged == 10
    assert world.prober.probes()["duty"] >= 3


def test_a_shared_sign_reaches_the_choice() -> None:
    """Guards against health changes that the target choice does not get."""
    world = _world(on_duty=False)
    world.receive(_news(world, 1, Health.LEAVING))
    assert world.leaving_signals == LeavingSignal.HEALTH
    assert world.changed == ["s0"]
    assert isinstance(world.bus.sent[-1][1], HealthTaken)
    world.receive(_news(world, 2, Health.OK))
    assert world.leaving_signals == 0
    assert world.paths == []


def test_an_own_refusal_ends_with_an_own_probe() -> None:
    """Guards against a target that stays excluded after one refusal."""
    world = _world(on_duty=False)
    stats = world.choice.stats("s0", world.target.name)
    stats.record_refusal(world.now_s)
    world.run(REFUSAL_HOLD_S - 0.5)
    assert world.leaving_signals == LeavingSignal.REFUSAL
    assert world.paths == []
    world.run(3.0)
    assert world.leaving_signals == 0
    assert world.prober.probes()["check"] == 1
    assert world.paths == ["/health"]


@pytest.mark.parametrize("age_ms", [200, -1])
def test_shared_loads_reach_the_choice(age_ms: int) -> None:
    """Guards against lost load reports and reports from the future."""
    world = _world(on_duty=False)
    load = SharedLoad(
        target=world.target.name, in_flight=3, queued=1, age_ms=age_ms
    )
    world.receive(LoadBatch(loads=(load,)))
    stats = world.choice.stats("s0", world.target.name)
    assert (stats.report is not None) == (age_ms >= 0)
    if stats.report is not None:
        assert stats.report_at_s == pytest.approx(world.now_s - 0.2)


def test_a_removed_target_is_left_alone() -> None:
    """Guards against health changes and probes of removed targets."""
    world = _world(on_duty=True)
    world.prober.set_targets([], set())
    world.choice.set_targets(world.now_s, "s0", [])
    paths = len(world.paths)
    world.receive(_news(world, 1, Health.LEAVING))
    world.run(3.0)
    assert len(world.paths) == paths
