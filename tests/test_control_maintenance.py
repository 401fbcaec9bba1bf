"""Changes of the control record that an instance should write."""

from dataclasses import replace

from agreement_harness import encode_config
from verbenaworks.agreed_state import AgreedState
from verbenaworks.control_maintenance import (
    ControlMaintenance,
    MaintenanceView,
)
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


def make_maintenance(**states: MemberState) -> ControlMaintenance:
    """Return the maintenance at instance a, with these other members."""
    maintenance = ControlMaintenance(_WRITER, "da", encode_config([]), 0.0)
    maintenance.set_members(
        {
            name: Member(name=name, incarnation=1, region="ra", state=state)
            for name, state in states.items()
        }
    )
    return maintenance


def due(
    maintenance: ControlMaintenance, now_s: float, state: AgreedState
) -> bool:
    """Return whether a write is due."""
    view = MaintenanceView(state=state, is_store_up=True, absent_since_s=None)
    return maintenance.next_write(now_s, view) is not None


def test_instance_without_any_peer_waits() -> None:
    """Guards against a partitioned instance that takes over every duty."""
    maintenance = make_maintenance(b=MemberState.DEAD, c=MemberState.DEAD)
    state = make_state(_PEER)
    assert not due(maintenance, 10.0, state)
    assert not due(maintenance, 39.0, state)
    assert due(maintenance, 41.0, state)
    assert due(
        make_maintenance(b=MemberState.DEAD, c=MemberState.ALIVE), 10, state
    )


def test_store_must_be_up_and_members_known() -> None:
    """Guards against reassignment by an instance that knows no members yet."""
    maintenance = make_maintenance(b=MemberState.DEAD, c=MemberState.ALIVE)
    state = make_state(_PEER)
    assert not due(maintenance, 2.0, state)
    view = MaintenanceView(state=state, is_store_up=False, absent_since_s=None)
    assert maintenance.next_write(10.0, view) is None


def test_release_counts_only_for_the_instance_that_gave_it() -> None:
    """Guards against a handover without a wait from an active owner.

    After a restore of the store, two owners can have had the same epoch.
    """
    maintenance = make_maintenance(b=MemberState.LEAVING, c=MemberState.ALIVE)
    state = make_state(_PEER)
    maintenance.record_release(state.control, _PEER, ((3, 5), (99, 5)))
    other = make_state(_LATER)
    assert not due(maintenance, 10.0, other)
    view = MaintenanceView(state=state, is_store_up=True, absent_since_s=None)
    write = maintenance.next_write(20.0, view)
    assert write is not None
    basis = WriteBasis(version=7, sequence=4, state=state)
    built = write.build(basis)
    assert isinstance(built, AgreedState)
    handed_over = built.control.shards[3]
    assert handed_over is not None and handed_over.handed_over
    assert handed_over.epoch == 6 and handed_over.instance != _PEER
    lost = replace(basis, state=replace(state, control=ControlRecord()))
    assert not isinstance(write.build(lost), AgreedState)
