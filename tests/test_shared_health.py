"""Shared health of targets, in seeded histories in virtual time."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import pytest

from health_harness import (
    HealthFleet,
    fleet_members,
    fleet_targets,
    next_incarnation,
)
from verbenaworks.health_messages import (
    HealthChange,
    HealthNews,
    HealthTaken,
)
from verbenaworks.health_sender import SendHealthMessage, health_code
from verbenaworks.load_report import Health
from verbenaworks.member import Member, MemberState
from verbenaworks.shared_health import (
    EffectiveHealth,
    HealthAction,
    ProbeTarget,
    SharedHealth,
)

BOUND_S = 3.0
SEEDS = range(8)
BAD_HEALTHS = (Health.LEAVING, Health.FAILING)
TARGET = fleet_targets(1, 3, 6)[0]


def make_fleet(seed: int, instances: int = 11) -> HealthFleet:
    """Return a fleet whose probes started at random times."""
    fleet = HealthFleet(
        seed, fleet_members(instances, 3, 6), fleet_targets(12, 3, 6)
    )
    fleet.run(3.0 + fleet.rng.uniform(0.0, 1.5))
    return fleet


def change_health(
    fleet: HealthFleet, seed: int, bad_health: Health
) -> tuple[str, float]:
    """Change the health of a target; return its name and the time."""
    target = fleet.targets[seed % len(fleet.targets)].name
    fleet.state[target] = bad_health
    return target, fleet.timers.now_s()


def check_bound(
    fleet: HealthFleet,
    target: str,
    since_s: float,
    names: Iterable[str] | None = None,
) -> None:
    """Check that these instances stop using the target in time, for good."""
    fleet.run(BOUND_S)
    views = fleet.views(target)
    names = list(views) if names is None else list(names)
    late = [name for name in names if views[name] is Health.OK]
    assert not late, f"{late} use {target} {BOUND_S} s after the change"
    fleet.run(6.0)
    back = [n for n in names if fleet.views(target)[n] is Health.OK]
    assert not back, f"{back} use {target} again"
    assert fleet.last_change_s(target) >= since_s


@pytest.mark.parametrize("bad_health", BAD_HEALTHS)
@pytest.mark.parametrize("dead", [0, 1, 2, 3])
def test_dead_probers(bad_health: Health, dead: int) -> None:
    """Guards against a report that is lost with the probers that made it."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        target, since_s = change_health(fleet, seed, bad_health)
        for name in fleet.probers(target)[:dead]:
            fleet.kill(name)
        check_bound(fleet, target, since_s)


@pytest.mark.parametrize("bad_health", BAD_HEALTHS)
def test_paused_probers_and_a_dead_one(bad_health: Health) -> None:
    """Guards against paused probers that count as reachable."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        target, since_s = change_health(fleet, seed, bad_health)
        dead, *paused = fleet.probers(target)
        fleet.kill(dead)
        for name in paused:
            fleet.pause(name, 8.0)
        running = fleet.nodes.keys() - set(paused)
        check_bound(fleet, target, since_s, running)


@pytest.mark.parametrize("bad_health", BAD_HEALTHS)
def test_blind_probers_and_a_dead_one(bad_health: Health) -> None:
    """Guards against probers whose path to the target is broken."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        target, since_s = change_health(fleet, seed, bad_health)
        blind, dead, _ = fleet.probers(target)
        fleet.break_probe_path(blind)
        fleet.kill(dead)
        check_bound(fleet, target, since_s, fleet.nodes.keys() - {blind})


@pytest.mark.parametrize("bad_health", BAD_HEALTHS)
def test_lost_messages(bad_health: Health) -> None:
    """Guards against changes that are sent only once."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        fleet.loss_share = 0.2
        target, since_s = change_health(fleet, seed, bad_health)
        check_bound(fleet, target, since_s)


@pytest.mark.parametrize("bad_health", BAD_HEALTHS)
def test_an_instance_that_is_cut_off(bad_health: Health) -> None:
    """Guards against an instance that waits for reports it cannot receive."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        target, since_s = change_health(fleet, seed, bad_health)
        names = sorted(fleet.nodes)
        fleet.partition([names[seed % len(names)]])
        check_bound(fleet, target, since_s)


def test_an_instance_of_a_large_fleet_that_receives_nothing() -> None:
    """Guards against waiting for the membership, which is slower."""
    members = fleet_members(72, 3, 6)
    last_received_s: dict[str, float] = {}
    health = SharedHealth("i0071", 1, last_received_s, 0.0, Random(1))
    health.set_members(0.0, members)
    targets = fleet_targets(12, 3, 6)
    health.set_targets(0.0, targets, {t.name for t in targets})
    duties = health.count_probed_targets("duty")
    for tick in range(50):
        last_received_s["i0000"] = min(tick / 10, 3.0)
        health.tick(tick / 10)
        if tick <= 35:
            assert health.count_probed_targets("alone") == 0
    assert health.count_probed_targets("alone") == 12 - duties > 0


def test_a_few_instances_that_are_cut_off_together() -> None:
    """Guards against waiting until all probers are suspected.

    With these seeds it took up to 4.2 s until several suspects at once led
    to local probes.
    """
    for seed in (25, 27, 91, 100):
        fleet = make_fleet(seed)
        target, since_s = change_health(fleet, seed, BAD_HEALTHS[seed % 2])
        names = sorted(fleet.nodes)
        fleet.partition(Random(seed).sample(names, 2 + seed % 3))
        check_bound(fleet, target, since_s)


def test_a_region_that_was_partitioned_before() -> None:
    """Guards against probers that only the other side can reach."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        region = f"r{seed % 3:02}"
        fleet.partition(
            n
            for n, node in fleet.nodes.items()
            if node.member.region == region
        )
        fleet.run(8.0)
        target, since_s = change_health(fleet, seed, Health.LEAVING)
        check_bound(fleet, target, since_s)


def test_relays_of_a_large_fleet_that_die_and_lose_messages() -> None:
    """Guards against a domain without reports when its relay is dead."""
    for seed in range(4):
        fleet = HealthFleet(
            seed,
            fleet_members(72, 3, 6),
            fleet_targets(12, 3, 6),
            runs_membership=False,
        )
        fleet.run(3.0)
        fleet.loss_share = 0.1
        target, since_s = change_health(fleet, seed, BAD_HEALTHS[seed % 2])
        names = fleet.nodes.keys() - set(fleet.probers(target)[1:])
        for name in Random(seed).sample(sorted(names), 8):
            fleet.kill(name)
        check_bound(fleet, target, since_s)
        running = set(fleet.nodes)
        for node in fleet.nodes.values():
            # Dead members stay in the fixed views; all others acknowledge.
            for report in node.health._sender._reports.values():
                assert not report.pending.keys() & running


def test_views_that_differ() -> None:
    """Guards against probers that each consider another the prober."""
    for seed in SEEDS:
        members = fleet_members(11, 3, 6)
        fleet = HealthFleet(seed, members, fleet_targets(12, 3, 6))
        rng = Random(seed)
        # At first, some instances know only a part of the members.
        for node in fleet.nodes.values():
            part = [m for m in members if rng.random() < 0.6]
            part += [node.member] * (node.member not in part)
            node.health.set_members(0.0, part)
        fleet.run(1.0)
        target, since_s = change_health(fleet, seed, Health.LEAVING)
        check_bound(fleet, target, since_s)


def test_one_blind_prober_removes_no_target() -> None:
    """Guards against one broken network that excludes all targets."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        blind = sorted(fleet.nodes)[seed % len(fleet.nodes)]
        fleet.break_probe_path(blind)
        fleet.run(15.0)
        for target in fleet.targets:
            fine = fleet.views(target.name)
            del fine[blind]
            assert set(fine.values()) == {Health.OK}, target.name
        assert any(node.probes["check"] for node in fleet.nodes.values()), (
            "the shared failures were not checked"
        )


def test_a_target_that_recovers_or_alternates() -> None:
    """Guards against targets that stay excluded after their recovery."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        target, _ = change_health(fleet, seed, BAD_HEALTHS[seed % 2])
        fleet.run(2.0 * fleet.rng.random())
        for health in (Health.NO_ANSWER, Health.LEAVING, Health.FAILING):
            fleet.state[target] = health
            fleet.run(3.0 * fleet.rng.random())
        fleet.state[target] = Health.OK
        fleet.run(12.0)
        assert set(fleet.views(target).values()) == {Health.OK}


def test_recovery_while_the_prober_with_the_report_dies() -> None:
    """Guards against the last report of a dead prober that never expires."""
    for seed in SEEDS:
        fleet = make_fleet(seed)
        target, _ = change_health(fleet, seed, Health.LEAVING)
        fleet.run(2.0)
        for name in fleet.probers(target):
            fleet.kill(name)
        fleet.state[target] = Health.OK
        fleet.run(20.0)
        assert set(fleet.views(target).values()) == {Health.OK}


def test_a_restarted_instance_learns_of_leaving_targets() -> None:
    """Guards against a restarted instance that uses a leaving target."""
    fleet = make_fleet(3)
    target, _ = change_health(fleet, 3, Health.LEAVING)
    fleet.run(4.0)
    name = next(n for n in fleet.nodes if n not in fleet.probers(target))
    member = next_incarnation(fleet.nodes[name].member)
    known = [n.member for n in fleet.nodes.values() if n.member.name != name]
    fleet.kill(name)
    fleet.start(
        member, [*known, member], {m.name: m.region for m in [*known, member]}
    )
    check_bound(fleet, target, 0.0)


def test_only_probes_and_batches_while_nothing_changes() -> None:
    """Guards against probe and byte rates that grow with the fleet."""
    for instances in (11, 22):
        fleet = make_fleet(1, instances)
        fleet.run(10.0)
        probes = sum(fleet.target_probes.values())
        sent = {n: node.sent_bytes for n, node in fleet.nodes.items()}
        fleet.run(30.0)
        rate = (sum(fleet.target_probes.values()) - probes) / 30 / 12
        assert 2.0 <= rate <= 2.5
        for name, node in fleet.nodes.items():
            assert (node.sent_bytes - sent[name]) / 30 <= 350.0
            assert node.health.count_probed_targets("alone") == 0


def _single() -> SharedHealth:
    """Return an instance that does not probe the target itself."""
    members = fleet_members(11, 3, 6)
    for member in members:
        health = SharedHealth(member.name, 1, {}, 0.0, Random(1))
        health.set_members(0.0, members)
        health.set_targets(0.0, [TARGET], {TARGET.name})
        if not health.count_probed_targets("duty"):
            return health
    raise AssertionError("all instances probe the target")


def _prober(health: SharedHealth) -> Member:
    return health._records[TARGET.name].probers[0]


def _receive_report(
    health: SharedHealth, seq: int, reported: Health, *, incarnation: int = 0
) -> list[HealthAction]:
    origin = _prober(health)
    change = HealthChange(
        target=TARGET.name, seq=seq, health=health_code(reported)
    )
    news = HealthNews(
        origin=origin.name,
        incarnation=incarnation or origin.incarnation,
        changes=(change, replace_target(change)),
    )
    return health.on_message(0.5, origin.name, news)


def replace_target(change: HealthChange) -> HealthChange:
    """Return the same change of a target that is not configured."""
    return HealthChange(target="unknown", seq=change.seq, health=change.health)


def _effective_healths(actions: list[HealthAction]) -> list[Health]:
    return [a.health for a in actions if isinstance(a, EffectiveHealth)]


def test_reports_are_applied_in_order() -> None:
    """Guards against a resent old report that undoes a newer one."""
    health = _single()
    assert _effective_healths(_receive_report(health, 2, Health.LEAVING)) == [
        Health.LEAVING
    ]
    assert _effective_healths(_receive_report(health, 1, Health.OK)) == []
    older = _prober(health).incarnation - 1
    assert (
        _effective_healths(
            _receive_report(health, 9, Health.OK, incarnation=older)
        )
        == []
    )
    assert _effective_healths(_receive_report(health, 3, Health.OK)) == [
        Health.OK
    ]


def test_ok_reports_of_removed_instances_are_removed() -> None:
    """Guards against memory that grows with each replaced instance."""
    health = _single()
    origin = _prober(health).name
    _receive_report(health, 1, Health.LEAVING)
    rest = [m for m in fleet_members(11, 3, 6) if m.name != origin]
    health.set_members(1.0, rest)
    assert origin in health._records[TARGET.name].reports
    health.set_members(1.0, fleet_members(11, 3, 6))
    _receive_report(health, 2, Health.OK)
    health.set_members(2.0, rest)
    assert not health._records[TARGET.name].reports


def test_only_known_targets_are_acknowledged() -> None:
    """Guards against losing a report that arrives before its target."""
    taken = [
        action.message.taken
        for action in _receive_report(_single(), 1, Health.LEAVING)
        if isinstance(action, SendHealthMessage)
        and isinstance(action.message, HealthTaken)
    ]
    assert taken == [((TARGET.name, 1),)]


def test_a_reported_failure_needs_a_local_failed_probe() -> None:
    """Guards against a fault in a prober's network that affects all."""
    for own in (Health.OK, Health.FAILING, Health.NO_ANSWER):
        health = _single()
        assert (
            _effective_healths(_receive_report(health, 1, Health.NO_ANSWER))
            == []
        )
        probes = [a for a in health.tick(0.7) if isinstance(a, ProbeTarget)]
        assert [probe.reason for probe in probes] == ["check"]
        effective = _effective_healths(
            health.on_probe_result(0.8, 0.7, TARGET.name, own)
        )
        expected = Health.OK if own is Health.OK else Health.FAILING
        assert effective == [expected]


def test_a_shared_ok_report_keeps_its_time() -> None:
    """Guards against an old OK report that overrides a later refusal."""
    health = _single()
    _receive_report(health, 1, Health.LEAVING)
    actions = _receive_report(health, 2, Health.OK)
    assert [a.asked_s for a in actions if isinstance(a, EffectiveHealth)] == [
        0.0
    ]


def test_local_probes_start_when_all_probers_are_suspected() -> None:
    """Guards against waiting until all probers are declared dead."""
    health = _single()
    health.set_members(
        0.0,
        [
            replace(m, state=MemberState.SUSPECT)
            if m.name != health._own_address
            else m
            for m in fleet_members(11, 3, 6)
        ],
    )
    assert (
        health.count_probed_targets("duty")
        + health.count_probed_targets("alone")
        == 1
    )
