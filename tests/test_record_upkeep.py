"""Changes of the control record that an instance should write."""

from dataclasses import replace

from agreement_harness import encode_config
from verbenaworks.agreed_state import AgreedState
from verbenaworks.control_maintenance import RecordUpkeep, UpkeepView
from verbenaworks.control_record import (
    ControlRecord,
    InstanceId,
    ShardOwner,
    Writer,
)
from verbenaworks.member import Member, MemberState
from verbenaworks.state_writes import WriteBasis

_OWN, _PEER, _LATER = (InstanceId(name=n, incarnation=1) for n in "abc")
_WRITER = Writer(instance=_OWN, region="ra")


def make_state(owner: InstanceId) -> AgreedState:
    """Return a state in which one instance owns every shard."""
    config = encode_config([])
    return AgreedState(
        sequence=4,
        config=config.document,
        config_revision=0,
        control=ControlRecord(
            writers=(_WRITER,),
            writers_version=1,
            shards=(ShardOwner(instance=owner, epoch=5),) * 16,
        ),
    )


def make_upkeep(**states: MemberState) -> RecordUpkeep:
    """Return the upkeep of a with the given other members."""
    upkeep = RecordUpkeep(_WRITER, "da", encode_config([]), 0.0)
    upkeep.set_members(
        {
            name: Member(name=name, incarnation=1, region="ra", state=state)
            for name, state in states.items()
        }
    )
    return upkeep


def due(upkeep: RecordUpkeep, now_s: float, state: AgreedState) -> bool:
    """Return whether a write is due."""
    view = UpkeepView(state=state, is_store_up=True, absent_since_s=None)
    return upkeep.due(now_s, view) is not None


def test_instance_without_any_peer_waits() -> None:
    """Guards against one cut-off instance that takes every duty."""
    upkeep = make_upkeep(b=MemberState.DEAD, c=MemberState.DEAD)
    state = make_state(_PEER)
    assert not due(upkeep, 10.0, state)
    assert not due(upkeep, 39.0, state)
    assert due(upkeep, 41.0, state)
    assert due(make_upkeep(b=MemberState.DEAD, c=MemberState.ALIVE), 10, state)


def test_store_must_be_up_and_members_known() -> None:
    """Guards against moves by a new assigner that knows nobody yet."""
    upkeep = make_upkeep(b=MemberState.DEAD, c=MemberState.ALIVE)
    state = make_state(_PEER)
    assert not due(upkeep, 2.0, state)
    view = UpkeepView(state=state, is_store_up=False, absent_since_s=None)
    assert upkeep.due(10.0, view) is None


def test_release_counts_only_for_the_instance_that_gave_it() -> None:
    """Guards against a handover without wait from an active owner.

    After a restore, one epoch can have had two owners.
    """
    upkeep = make_upkeep(b=MemberState.LEAVING, c=MemberState.ALIVE)
    state = make_state(_PEER)
    upkeep.note_released(state.control, _PEER, ((3, 5), (99, 5)))
    other = make_state(_LATER)
    assert not due(upkeep, 10.0, other)
    view = UpkeepView(state=state, is_store_up=True, absent_since_s=None)
    write = upkeep.due(20.0, view)
    assert write is not None
    basis = WriteBasis(version=7, sequence=4, state=state)
    built = write.build(basis)
    assert isinstance(built, AgreedState)
    handed_over = built.control.shards[3]
    assert handed_over is not None and handed_over.handed_over
    assert handed_over.epoch == 6 and handed_over.instance != _PEER
    lost = replace(basis, state=replace(state, control=ControlRecord()))
    assert not isinstance(write.build(lost), AgreedState)
