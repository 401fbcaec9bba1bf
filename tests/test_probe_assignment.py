"""Assignment of probers to targets."""

from collections import Counter
from dataclasses import replace

from health_harness import fleet_members, fleet_targets
from verbenaworks.member import MemberState
from verbenaworks.probe_assignment import PROBERS_PER_TARGET, ProbeAssignment


def test_probers_are_near_and_in_different_domains() -> None:
    """Guards against losing all probers with one failure domain."""
    for instances, regions, domains in ((11, 3, 6), (1300, 10, 31)):
        assignment = ProbeAssignment()
        assignment.set_members(fleet_members(instances, regions, domains))
        for target in fleet_targets(62, regions, domains):
            probers = assignment.probers(target)
            assert len(probers) == PROBERS_PER_TARGET
            assert (
                len({p.failure_domain for p in probers}) == PROBERS_PER_TARGET
            )
            near = [p for p in probers if p.region == target.region]
            assert near == list(probers[:2])


def test_one_lost_member_moves_only_its_targets() -> None:
    """Guards against reassigning targets of members that stay."""
    members = fleet_members(44, 3, 6)
    assignment = ProbeAssignment()
    assignment.set_members(members)
    targets = fleet_targets(52, 3, 6)
    before = {t.name: assignment.probers(t) for t in targets}
    lost = before[targets[0].name][0]
    assignment.set_members([m for m in members if m != lost])
    for target in targets:
        kept = [p for p in before[target.name] if p != lost]
        after = assignment.probers(target)
        assert len(after) == PROBERS_PER_TARGET
        assert set(kept) <= set(after)
        if len(kept) == PROBERS_PER_TARGET:
            assert after == before[target.name]


def test_a_suspect_has_a_replacement() -> None:
    """Guards against replacing a prober only after its death."""
    members = fleet_members(11, 3, 6)
    assignment = ProbeAssignment()
    assignment.set_members(members)
    target = fleet_targets(1, 3, 6)[0]
    first = assignment.probers(target)[0]
    assignment.set_members(
        replace(m, state=MemberState.SUSPECT) if m == first else m
        for m in members
    )
    probers = assignment.probers(target)
    assert first.name in {p.name for p in probers}
    assert (
        sum(p.state is MemberState.ALIVE for p in probers)
        == PROBERS_PER_TARGET
    )


def test_small_fleets_use_all_members() -> None:
    """Guards against targets without probers in a fleet of one or two."""
    target = fleet_targets(3, 3, 6)[2]
    for count in (1, 2, 3):
        assignment = ProbeAssignment()
        assignment.set_members(fleet_members(count, 3, 6))
        assert len(assignment.probers(target)) == count


def test_targets_are_spread_over_the_members() -> None:
    """Guards against assigning most of the probes to one instance."""
    assignment = ProbeAssignment()
    assignment.set_members(fleet_members(62, 10, 31))
    duties = Counter(
        prober.name
        for target in fleet_targets(620, 10, 31)
        for prober in assignment.probers(target)
    )
    assert len(duties) == 62
    assert max(duties.values()) <= 2 * 3 * 620 / 62
