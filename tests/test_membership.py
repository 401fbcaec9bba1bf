"""Failure detection and dissemination."""

from dataclasses import replace
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from membership_harness import MemberNetwork
from verbenaworks.member import Member, MemberState
from verbenaworks.member_updates import brief_update, encode_updates
from verbenaworks.membership import Membership
from verbenaworks.membership_messages import (
    Ack,
    AskMembers,
    MemberList,
    Ping,
    SendMembershipMessage,
)


def make_network(size: int, seed: int = 1) -> MemberNetwork:
    """Return a network whose members know each other."""
    network = MemberNetwork(seed)
    names = [f"m{n:02d}" for n in range(size)]
    for name in names:
        network.start(name, names[:2])
    network.timers.advance(10.0)
    assert network.has_converged()
    return network


def make_single(*others: Member) -> Membership:
    """Return a membership that knows the other members."""
    own = Member(name="a", incarnation=5, bus_address="a")
    membership = Membership(own, ["seed"], 0.0, Random(1))
    membership.on_message(0.0, MemberList(updates=encode_updates(others)))
    return membership


def test_members_known_only_by_brief_records_are_asked_for() -> None:
    """Guards against members that stay unknown after a lost full record.

    Full records are rarely sent again. An instance that lacks one must ask
    for it when it receives a brief record.
    """
    known = Member(name="b", incarnation=1, bus_address="b")
    unknown = Member(name="c", incarnation=1, bus_address="c")
    membership = make_single(known)
    updates = encode_updates([brief_update(known), brief_update(unknown)])
    membership.on_message(0.0, Ping(seq=1, reply_to="b", updates=updates))
    assert membership.member("c") is None
    sent = [
        item.message
        for item in membership.tick(0.1)
        if isinstance(item.message, AskMembers)
    ]
    assert [message.names for message in sent] == [("c",)]


def test_member_is_asked_of_the_instance_that_named_it() -> None:
    """Guards against views that never agree after several restarts.

    Two restarted members asked only each other for the third one, which
    neither of them knew.
    """
    network = MemberNetwork(68)
    names = [f"m{n}" for n in range(5)]
    for name in names:
        network.start(name, names)
    network.timers.advance(8.0)
    for name in ("m2", "m3", "m4"):
        network.kill(name)
    network.timers.advance(6.0)
    network.kill("m0")
    network.start("m0", names)
    network.start("m2", names)
    network.timers.advance(45.0)
    assert network.has_converged()


def test_dead_member_is_detected_by_all() -> None:
    """Guards against work that is sent to a dead instance."""
    network = make_network(8)
    network.kill("m03")
    network.timers.advance(4.0)
    assert network.has_converged()
    assert network.views()["m00"]["m03"] is MemberState.DEAD


def test_losses_and_short_pauses_cause_no_deaths() -> None:
    """Guards against false detections, which reassign shards and writers."""
    network = make_network(8)
    network.loss_share = 0.1
    for _ in range(20):
        network.pause("m02", 0.6)
        network.timers.advance(1.5)
        assert all(
            MemberState.DEAD not in view.values()
            for view in network.views().values()
        )


def test_paused_member_does_not_declare_the_others_dead() -> None:
    """Guards against a resumed process that suspects all others."""
    network = make_network(6)
    network.pause("m02", 1.2)
    network.timers.advance(1.25)
    assert MemberState.DEAD not in network.views()["m02"].values()
    network.timers.advance(5.0)
    assert network.has_converged()


def test_partition_heals_by_itself() -> None:
    """Guards against a fleet that stays split after a partition.

    The seeds are dead, so only probes of dead members can heal it.
    """
    network = make_network(9)
    network.kill("m00")
    network.kill("m01")
    network.timers.advance(5.0)
    network.partition_sides = dict.fromkeys(list(network.peers)[:4], 1)
    network.timers.advance(600.0)
    assert not network.has_converged()
    network.partition_sides = {}
    network.timers.advance(20.0)
    assert network.has_converged()


def test_restart_replaces_the_earlier_incarnation() -> None:
    """Guards against a restarted instance that stays dead."""
    network = make_network(6)
    network.kill("m04")
    network.timers.advance(5.0)
    network.start("m04", ["m00"])
    network.timers.advance(5.0)
    assert network.has_converged()


def test_leaving_and_reports_reach_everyone() -> None:
    """Guards against reports that reach only some members."""
    network = make_network(8)
    leaving = network.peers["m05"].membership
    leaving.report(config_revision=9, fresh=True, load=0.5)
    leaving.leave()
    network.timers.advance(8.0)
    for name, peer in network.peers.items():
        member = peer.membership.member("m05")
        assert member is not None and member.state is MemberState.LEAVING
        assert (member.config_revision, member.fresh) == (9, True), name


def test_suspicion_is_refuted_under_a_higher_counter() -> None:
    """Guards against a live instance that is declared dead."""
    membership = make_single(Member(name="b", incarnation=1, bus_address="b"))
    suspicion = brief_update(
        Member(name="a", incarnation=5, counter=3, state=MemberState.SUSPECT)
    )
    (answer,) = membership.on_message(
        1.0, Ping(seq=1, reply_to="b", updates=encode_updates([suspicion]))
    )
    assert isinstance(answer, SendMembershipMessage) and isinstance(
        answer.message, Ack
    )
    assert membership.own.counter == 4
    assert membership.own.state is MemberState.ALIVE


def test_newer_report_does_not_hide_a_death() -> None:
    """Guards against a death that other members ignore."""
    known = Member(name="b", incarnation=1, bus_address="b", report=7)
    membership = make_single(known)
    dead = Member(name="b", incarnation=1, state=MemberState.DEAD, report=3)
    membership.on_message(1.0, Ack(seq=1, updates=encode_updates([dead])))
    member = membership.member("b")
    assert member is not None and member.state is MemberState.DEAD


def test_topology_version_ignores_reports() -> None:
    """Guards against duties and lookups based on outdated members."""
    known = Member(name="b", incarnation=1, bus_address="b", fresh=True)
    membership = make_single(known)
    reported = replace(known, counter=1, load=0.5, config_revision=7)
    before, version = membership.topology_version, membership.version
    membership._merge(1.0, reported)
    assert membership.version > version
    assert membership.topology_version == before
    for change in (
        {"fresh": False},
        {"state": MemberState.SUSPECT},
        {"state": MemberState.DEAD},
        {"incarnation": 2, "state": MemberState.ALIVE},
    ):
        before = membership.topology_version
        reported = replace(
            reported,
            counter=reported.counter + 1,
            **change,  # type: ignore[arg-type]
        )
        membership._merge(1.0, reported)
        assert membership.topology_version > before, change
    before = membership.topology_version
    membership.leave()
    assert membership.topology_version > before


def test_second_process_with_the_same_name_is_detected() -> None:
    """Guards against two processes that both act under one name."""
    membership = make_single(Member(name="a", incarnation=6))
    assert membership.is_superseded


def test_number_of_updates_per_message_is_bounded() -> None:
    """Guards against messages that grow with the fleet."""
    others = [
        Member(name=f"m{n:03d}", incarnation=1, bus_address=f"m{n:03d}")
        for n in range(400)
    ]
    membership = make_single(*others)
    for other in others:
        dead = brief_update(other)
        membership.on_message(
            0.5,
            Ack(seq=9, updates=encode_updates([dead, brief_update(other)])),
        )
    sizes = [
        len(action.message.updates)
        for tick in range(1, 100)
        for action in membership.tick(tick / 10)
        if isinstance(action.message, Ping)
    ]
    assert sizes and max(sizes) < 500


def test_malformed_updates_are_ignored() -> None:
    """Guards against a damaged message that ends the receive loop."""
    membership = make_single()
    assert membership.on_message(1.0, Ack(seq=1, updates=b"\xc1")) == []


class MembershipMachine(RuleBasedStateMachine):
    """Random faults; afterwards all views must agree."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Start five members."""
        self.names = [f"m{n}" for n in range(5)]
        self.network = MemberNetwork(seed)
        for name in self.names:
            self.network.start(name, self.names)
        self.network.timers.advance(5.0)
        self.ranks: dict[tuple[str, str], tuple[int, int]] = {}

    @rule(index=st.integers(0, 4))
    def kill_or_start(self, index: int) -> None:
        """Kill a member, or start it again."""
        name = self.names[index]
        if name in self.network.peers:
            self.network.kill(name)
            self.ranks = {k: v for k, v in self.ranks.items() if k[0] != name}
        else:
            self.network.start(name, self.names)

    @rule(index=st.integers(0, 4), duration_s=st.sampled_from([0.5, 3.0]))
    def pause(self, index: int, duration_s: float) -> None:
        """Pause a member."""
        peer = self.network.peers.get(self.names[index])
        if peer is not None and not peer.is_paused:
            self.network.pause(peer.name, duration_s)

    @rule(side=st.sets(st.integers(0, 4)), loss=st.sampled_from([0.0, 0.3]))
    def disturb(self, side: set[int], loss: float) -> None:
        """Partition the network and lose messages."""
        self.network.partition_sides = {self.names[i]: 1 for i in side}
        self.network.loss_share = loss

    @rule(duration_s=st.floats(0.1, 5.0))
    def wait(self, duration_s: float) -> None:
        """Let time pass."""
        self.network.timers.advance(duration_s)

    @invariant()
    def records_never_get_older(self) -> None:
        """Incarnation and counter of a record never decrease at a member."""
        for name, peer in self.network.peers.items():
            for member in peer.membership.members():
                rank = (member.incarnation, member.counter)
                key = (name, member.name)
                assert rank >= self.ranks.get(key, rank)
                self.ranks[key] = rank

    def teardown(self) -> None:
        """All views agree some time after the last fault."""
        self.network.partition_sides = {}
        self.network.loss_share = 0.0
        self.network.timers.advance(45.0)
        assert self.network.has_converged()


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=12,
    database=None,
)
