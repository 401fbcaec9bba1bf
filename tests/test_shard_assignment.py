"""Assignment of shard owners and writers."""

from verbenaworks.control_record import (
    ControlRecord,
    InstanceId,
    ShardOwner,
    Writer,
)
from verbenaworks.member import Member, MemberState
from verbenaworks.poll_plan import plan_polls
from verbenaworks.shard_assignment import (
    assign_shards,
    merge_control,
    replace_writers,
)


def make_members(names: str, **changed: MemberState) -> dict[str, Member]:
    """Return members whose region is r plus the name."""
    return {
        name: Member(
            name=name,
            incarnation=1,
            region=f"r{name}",
            failure_domain="d",
            fresh=True,
            state=changed.get(name, MemberState.ALIVE),
        )
        for name in names
    }


def _id(name: str, incarnation: int = 1) -> InstanceId:
    return InstanceId(name=name, incarnation=incarnation)


def test_only_shards_of_lost_owners_move() -> None:
    """Guards against reassignment whenever an instance joins."""
    first = assign_shards(ControlRecord(), make_members("abc"), (), ())
    assert {s.instance.name for s in first.shards if s} == set("abc")
    assert assign_shards(first, make_members("abcd"), (), ()) == first
    dead = make_members("abcd", b=MemberState.DEAD)
    for old, new in zip(
        first.shards, assign_shards(first, dead, (), ()).shards, strict=True
    ):
        assert old and new
        if old.instance.name == "b":
            assert new.instance.name != "b" and new.epoch == old.epoch + 1
            assert not new.handed_over
        else:
            assert new == old


def test_restarted_owner_gets_a_new_epoch() -> None:
    """Guards against a restarted instance acting under its old epoch."""
    first = assign_shards(ControlRecord(), make_members("a"), (), ())
    restarted = make_members("a")
    restarted["a"] = Member(name="a", incarnation=2)
    second = assign_shards(first, restarted, (), ())
    assert {(s.instance, s.epoch) for s in second.shards if s} == {
        (_id("a", 2), 2)
    }


def test_release_of_a_leaving_owner_is_awaited() -> None:
    """Guards against reassigning a shard just before its handover."""
    first = assign_shards(ControlRecord(), make_members("a"), (), ())
    leaving = make_members("ab", a=MemberState.LEAVING)
    assert assign_shards(first, leaving, (), ()) == first
    moved = assign_shards(first, leaving, {(3, 1)}, ())
    assert moved.shards[3] == ShardOwner(
        instance=_id("b"), epoch=2, handed_over=True
    )
    assert moved.shards[4] == first.shards[4]
    overdue = assign_shards(first, leaving, (), {_id("a")})
    assert overdue.shards[4] == ShardOwner(instance=_id("b"), epoch=2)


def test_one_live_writer_per_region() -> None:
    """Guards against a list with a dead writer, or without any writer."""
    own = Writer(instance=_id("a"), region="ra")
    control = replace_writers(ControlRecord(), make_members("abc"), own)
    assert [w.instance.name for w in control.writers] == ["a", "b", "c"]
    assert replace_writers(control, make_members("abc"), own) is control
    members = make_members("abc", b=MemberState.DEAD, c=MemberState.LEAVING)
    after = replace_writers(control, members, own)
    assert after.writers == (own,)
    assert after.writers_version == control.writers_version + 1


def test_merged_records_never_reuse_an_epoch() -> None:
    """Guards against two owners under one epoch after a restore."""
    local = assign_shards(ControlRecord(), make_members("a"), (), ())
    other = assign_shards(ControlRecord(), make_members("b"), (), ())
    merged = merge_control(local, other)
    assert {s.epoch for s in merged.shards if s} == {2}


def test_poll_plan_bounds_the_work_of_each_instance() -> None:
    """Guards against a relay that is polled by its whole failure domain."""
    members = [
        Member(name=f"i{n:02d}", incarnation=1, failure_domain="d")
        for n in range(42)
    ]
    plans = {m.name: plan_polls(m.name, "d", members) for m in members}
    assert sum(plan.uses_store for plan in plans.values()) == 2
    children = dict.fromkeys(plans, 0)
    for name, plan in plans.items():
        for parent in plan.parents:
            children[parent] += 1
            assert parent < name
    assert max(children.values()) <= 8
    assert plan_polls("i05", "d", members[:10]).uses_store
