"""Rules of the agreement that seeded histories reach only by chance."""

from collections.abc import Iterable
from random import Random
from typing import Any

from agreement_harness import Cluster, encode_config, make_edit
from verbenaworks.agreed_state import AgreedState
from verbenaworks.agreement import (
    TICK_S,
    Agreement,
    AgreementSettings,
)
from verbenaworks.agreement_actions import CallStore, SendMessage
from verbenaworks.agreement_messages import (
    ShardsReleased,
    StateAnswer,
    StatePoll,
    WriterResigned,
)
from verbenaworks.control_maintenance import MAX_ATTESTATION_AGE_S
from verbenaworks.control_record import (
    ControlRecord,
    InstanceId,
    ShardOwner,
    Writer,
)
from verbenaworks.freshness import (
    FENCING_WAIT_S,
    MAX_CLOCK_DRIFT,
    MAX_CONFIRMATION_AGE_S,
)
from verbenaworks.member import Member, MemberState
from verbenaworks.state_delta import whole_state
from verbenaworks.store_requests import (
    StoreGet,
    StoreGetVersion,
    StoreOutcomeUnknown,
    StorePut,
    StoreValue,
    StoreVersionFound,
    StoreWatch,
)

_OWN = InstanceId(name="a", incarnation=1)
_PEER = InstanceId(name="b", incarnation=1)


def make_state(
    sequence: int,
    *,
    writers: Iterable[InstanceId] = (),
    owner: ShardOwner | None = None,
    takeover: InstanceId | None = None,
) -> AgreedState:
    """Return a state whose shard 3 has the given owner."""
    config = encode_config([])
    return AgreedState(
        sequence=sequence,
        config=config.document,
        config_revision=0,
        control=ControlRecord(
            writers=tuple(
                Writer(instance=w, region=f"r{w.name}") for w in writers
            ),
            writers_version=1,
            shards=(None,) * 3 + (owner,) + (None,) * 12,
            takeover=takeover,
        ),
    )


class SingleInstance:
    """One instance whose store and peers are simulated by the test."""

    def __init__(self, state: AgreedState | None) -> None:
        self.agreement = Agreement(
            AgreementSettings(
                instance=_OWN,
                region="ra",
                failure_domain="da",
                initial_config=encode_config([]),
            ),
            0.0,
            Random(1),
        )
        self.state = state
        self.version = 7
        self.now_s = 0.0
        self.is_store_answering = True
        self.sent: list[SendMessage] = []
        self.unanswered: list[Any] = []

    def act(self, actions: list[Any]) -> None:
        """Carry out actions with a store that contains one state."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.sent.append(action)
            if not isinstance(action, CallStore):
                continue
            request = action.request
            if isinstance(request, StorePut | StoreWatch) or (
                not self.is_store_answering
            ):
                self.unanswered.append(request)
                continue
            self.answer(request)

    def answer(self, request: Any) -> None:
        """Answer a read with the current state of the store."""
        assert self.state is not None
        result: Any = StoreVersionFound(version=self.version)
        if isinstance(request, StoreGet):
            result = StoreValue(
                value=self.state.to_bytes(), version=self.version
            )
        self.act(
            self.agreement.on_store_result(
                self.now_s, request.request_id, result
            )
        )

    def run(self, duration_s: float) -> None:
        """Let time pass with a tick every ``TICK_S``."""
        for _ in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            self.act(self.agreement.tick(self.now_s))

    def poll(self) -> StateAnswer:
        """Return the answer to a peer's poll."""
        self.sent.clear()
        poll = StatePoll(poll_id=5, sequence=0, tag=0, config_revision=0)
        self.act(self.agreement.on_message(self.now_s, "b", poll))
        return next(
            s.message for s in self.sent if isinstance(s.message, StateAnswer)
        )

    @property
    def is_fresh(self) -> bool:
        """Return whether the instance is fresh now."""
        return self.agreement.is_fresh(self.now_s)


def newest_request(single: SingleInstance, kind: type) -> Any:
    """Return the newest unanswered store request of a kind."""
    return [r for r in single.unanswered if isinstance(r, kind)][-1]


def test_delayed_store_answer_confirms_its_send_time() -> None:
    """Guards against freshness counted from the receive time."""
    single = SingleInstance(make_state(4, writers=[_PEER]))
    single.run(3.0)
    single.is_store_answering = False
    single.unanswered.clear()
    single.run(0.5)
    request = newest_request(single, StoreGetVersion)
    sent_s = single.now_s
    single.run(0.9)
    single.answer(request)
    confirmed_s = single.agreement.freshness.confirmed_at_s
    assert confirmed_s is not None and confirmed_s <= sent_s
    single.run(1.2)
    assert not single.is_fresh


def test_starting_instance_does_not_trust_the_store_at_once() -> None:
    """Guards against serving from a restored store before its repair."""
    single = SingleInstance(make_state(4, writers=[_PEER]))
    single.run(0.8)
    assert single.agreement.state is not None and not single.is_fresh
    single.run(1.0)
    assert single.is_fresh


def test_writer_attests_only_while_settled() -> None:
    """Guards against attesting a state that a late write replaces."""
    single = SingleInstance(make_state(4, writers=[_OWN]))
    single.run(1.0)
    assert single.poll().attests
    single.act(single.agreement.submit(make_edit("e1"), single.now_s))
    put = newest_request(single, StorePut)
    assert not single.poll().attests
    single.act(
        single.agreement.on_store_result(
            single.now_s, put.request_id, StoreOutcomeUnknown()
        )
    )
    assert not single.poll().attests
    # Only a version other than the expected one settles the write.
    single.run(0.5)
    assert not single.poll().attests
    single.version, single.state = 8, AgreedState.from_bytes(put.value)
    single.run(0.6)
    assert single.poll().attests


def test_writer_stops_attesting_after_the_limit() -> None:
    """Guards against attesting a list that was replaced meanwhile."""
    single = SingleInstance(make_state(4, writers=[_OWN]))
    single.run(2.0)
    single.is_store_answering = False
    single.now_s += MAX_ATTESTATION_AGE_S - 2.0
    assert single.poll().attests
    single.now_s += 3.0
    assert not single.poll().attests


def test_writer_does_not_attest_during_a_takeover() -> None:
    """Guards against attestations while a list is being replaced."""
    single = SingleInstance(make_state(4, writers=[_OWN], takeover=_PEER))
    single.run(2.0)
    assert not single.poll().attests


def test_one_of_two_writers_is_not_enough() -> None:
    """Guards against freshness while a writer may have written."""
    state = make_state(4, writers=[_PEER, InstanceId(name="c", incarnation=1)])
    single = SingleInstance(state)
    single.run(1.0)
    single.is_store_answering = False
    for _ in range(40):
        single.run(TICK_S)
        for sent in single.sent:
            if sent.to == "b" and isinstance(sent.message, StatePoll):
                answer = StateAnswer(
                    poll_id=sent.message.poll_id,
                    incarnation=1,
                    sequence=4,
                    tag=sent.message.tag,
                    config_revision=0,
                    age_s=None,
                    attests=True,
                )
                single.act(
                    single.agreement.on_message(single.now_s, "b", answer)
                )
        single.sent.clear()
    assert not single.is_fresh


def test_new_owner_waits_and_must_be_confirmed_after_the_wait() -> None:
    """Guards against two owners while the earlier one is still fresh."""
    earlier = ShardOwner(instance=_PEER, epoch=1)
    single = SingleInstance(make_state(4, writers=[_PEER], owner=earlier))
    single.run(6.0)
    single.state = make_state(
        5, writers=[_PEER], owner=ShardOwner(instance=_OWN, epoch=2)
    )
    single.version = 8
    single.run(0.5)
    lease = single.agreement.lease(3)
    assert lease is not None and lease.epoch == 2
    single.run(FENCING_WAIT_S - 0.6)
    assert not lease.is_valid(single.now_s)
    single.is_store_answering = False
    single.run(0.3)
    assert single.is_fresh and not lease.is_valid(single.now_s)
    single.is_store_answering = True
    single.run(0.9)
    assert lease.is_valid(single.now_s)
    assert not lease.is_valid(single.now_s + MAX_CONFIRMATION_AGE_S)


def test_owner_waits_again_after_a_gap() -> None:
    """Guards against a paused owner that resumes after a store restore."""
    owner = ShardOwner(instance=_OWN, epoch=2)
    single = SingleInstance(make_state(4, writers=[_PEER], owner=owner))
    single.run(6.0)
    lease = single.agreement.lease(3)
    assert lease is not None and lease.is_valid(single.now_s)
    single.now_s += 10.0
    assert not lease.is_valid(single.now_s)
    single.run(2.5)
    assert single.is_fresh and not lease.is_valid(single.now_s)
    single.run(2.0)
    assert lease.is_valid(single.now_s)


def test_graceful_handover_needs_no_wait() -> None:
    """Guards against seconds without an owner at every shutdown."""
    single = SingleInstance(make_state(4, writers=[_PEER]))
    single.run(6.0)
    owner = ShardOwner(instance=_OWN, epoch=2, handed_over=True)
    single.state, single.version = (
        make_state(5, writers=[_PEER], owner=owner),
        8,
    )
    single.run(1.0)
    lease = single.agreement.lease(3)
    assert lease is not None and lease.is_valid(single.now_s)
    single.sent.clear()
    single.act(single.agreement.release_shards(single.now_s))
    assert not lease.is_valid(single.now_s)
    released = [m.message for m in single.sent]
    assert ShardsReleased(owner=_OWN, shards=((3, 2),)) in released


def test_shard_is_not_handed_over_during_the_wait() -> None:
    """Guards against a successor that skips the wait during a lease."""
    single = SingleInstance(make_state(4, writers=[_PEER]))
    single.run(6.0)
    owner = ShardOwner(instance=_OWN, epoch=2)
    single.state, single.version = (
        make_state(5, writers=[_PEER], owner=owner),
        8,
    )
    single.run(0.5)
    single.sent.clear()
    single.act(single.agreement.release_shards(single.now_s))
    single.run(0.5)
    assert not any(isinstance(s.message, ShardsReleased) for s in single.sent)


def test_version_is_not_trusted_after_a_gap() -> None:
    """Guards against a restored store that reuses a version number."""
    single = SingleInstance(make_state(4, writers=[_OWN]))
    single.run(2.0)
    single.state = make_state(6, writers=[_OWN])
    single.now_s += 5.0
    single.run(0.6)
    assert single.agreement.state == single.state


def test_writer_repairs_a_restored_store() -> None:
    """Guards against edits that are lost when the store is restored."""
    single = SingleInstance(make_state(4, writers=[_OWN]))
    single.run(2.0)
    single.state, single.version = make_state(2, writers=[_PEER]), 5
    single.run(1.0)
    put = newest_request(single, StorePut)
    written = AgreedState.from_bytes(put.value)
    assert (put.expected_version, written.sequence) == (5, 5)
    assert written.control.is_writer(_OWN)


def test_resigned_writer_sends_nothing_more() -> None:
    """Guards against a write after the resignation."""
    single = SingleInstance(make_state(4, writers=[_OWN]))
    single.agreement.set_members([Member(name="b", incarnation=1)])
    single.run(2.0)
    single.act(single.agreement.submit(make_edit("e1"), single.now_s))
    put = newest_request(single, StorePut)
    single.act(single.agreement.resign(single.now_s))
    assert not single.agreement.has_resigned
    single.version, single.state = 8, AgreedState.from_bytes(put.value)
    single.sent.clear()
    single.run(3.0)
    assert single.agreement.has_resigned
    (resignation,) = [
        s.message.resignation
        for s in single.sent
        if isinstance(s.message, WriterResigned)
    ]
    assert (resignation.writer, resignation.sequence) == (_OWN, 5)
    single.unanswered.clear()
    single.act(single.agreement.submit(make_edit("e2"), single.now_s))
    single.state, single.version = make_state(2, writers=[_OWN]), 5
    single.run(3.0)
    assert not any(isinstance(r, StorePut) for r in single.unanswered)


def test_lost_writers_are_replaced_only_after_the_limit() -> None:
    """Guards against a takeover while a partitioned writer attests."""
    single = SingleInstance(make_state(4, writers=[_PEER]))
    single.agreement.set_members(
        [Member(name="b", incarnation=1, state=MemberState.DEAD)]
    )
    single.run(15.0)
    put = newest_request(single, StorePut)
    announced = AgreedState.from_bytes(put.value)
    assert announced.control.takeover == _OWN
    assert announced.control.is_writer(_PEER)
    single.unanswered.clear()
    single.state, single.version = announced, 8
    single.run(10.0)
    assert not any(isinstance(r, StorePut) for r in single.unanswered)
    single.now_s += MAX_ATTESTATION_AGE_S * (1 + 2 * MAX_CLOCK_DRIFT)
    single.run(15.0)
    replaced = AgreedState.from_bytes(newest_request(single, StorePut).value)
    assert replaced.control.is_writer(_OWN)
    assert not replaced.control.is_writer(_PEER)


def test_relayed_state_with_a_lower_revision_is_refused() -> None:
    """Guards against a relay that sends an earlier document."""
    single = SingleInstance(make_state(4, writers=[_PEER]))
    single.run(3.0)
    single.is_store_answering = False
    single.agreement.set_members([Member(name="b", incarnation=1)])
    single.run(2.0)
    poll = [
        s.message
        for s in single.sent
        if s.to == "b" and isinstance(s.message, StatePoll)
    ][-1]
    older = make_state(3, writers=[_PEER]).to_bytes()
    single.act(
        single.agreement.on_message(
            single.now_s,
            "b",
            StateAnswer(
                poll_id=poll.poll_id,
                incarnation=1,
                sequence=3,
                tag=1,
                config_revision=0,
                age_s=0.0,
                attests=True,
                update=whole_state(older),
            ),
        )
    )
    assert single.agreement.state == make_state(4, writers=[_PEER])
    assert not single.is_fresh


def test_instance_starts_from_the_writers_while_the_store_is_down() -> None:
    """Guards against restarts that wait for the store to return."""
    cluster = Cluster(3)
    cluster.start_all()
    cluster.timers.advance(8.0)
    cluster.store.is_down = True
    cluster.timers.advance(3.0)
    node = next(n for n in cluster.nodes.values() if not n.agreement.is_writer)
    cluster.kill(node.name)
    node = cluster.start(node.name)
    cluster.timers.advance(3.0)
    assert node.agreement.is_fresh(node.clock.now_s())
