"""Sending of health changes until they are acknowledged."""

from dataclasses import replace
from random import Random

from health_harness import fleet_members
from verbenaworks.health_messages import HealthNews, HealthTaken
from verbenaworks.health_sender import HealthSender, SendHealthMessage
from verbenaworks.load_report import Health
from verbenaworks.member import Member

OWN = "own"


def _sender(members: list[Member]) -> HealthSender:
    sender = HealthSender(OWN, 7, Random(1))
    sender.set_members(0.0, {m.bus_address: m for m in members})
    return sender


def _messages(sends: list[SendHealthMessage]) -> dict[str, HealthNews]:
    messages = {}
    for send in sends:
        assert isinstance(send.message, HealthNews)
        messages[send.address] = send.message
    return messages


def _acknowledge(
    sender: HealthSender, target: str, seq: int, *names: str
) -> None:
    sender.on_acknowledgement(
        HealthTaken(
            origin=OWN, incarnation=7, taken=((target, seq),), takers=names
        )
    )


def test_a_change_is_sent_until_it_is_acknowledged() -> None:
    """Guards against a change that is lost with one message."""
    sender = _sender(fleet_members(3, 1, 1))
    sender.report_change(0.0, "t", Health.LEAVING)
    assert len(sender.tick(0.0)) == 3
    assert sender.tick(0.1) == []
    _acknowledge(sender, "t", 1, "i0000", "i0001")
    assert set(_messages(sender.tick(0.4))) == {"i0002"}
    _acknowledge(sender, "t", 1, "i0002")
    assert sender.tick(5.0) == []


def test_a_newer_change_supersedes() -> None:
    """Guards against an old report that is sent after a newer one."""
    sender = _sender(fleet_members(1, 1, 1))
    sender.report_change(0.0, "t", Health.LEAVING)
    sender.report_change(0.1, "t", Health.OK)
    _acknowledge(sender, "t", 1, "i0000")
    change = _messages(sender.tick(0.2))["i0000"].changes[0]
    assert (change.seq, sender.pending) == (2, 1)


def test_a_broken_path_is_bypassed_by_a_relay() -> None:
    """Guards against missing an instance that only others can reach."""
    sender = _sender(fleet_members(4, 1, 1))
    sender.report_change(0.0, "t", Health.LEAVING)
    sender.tick(0.0)
    _acknowledge(sender, "t", 1, "i0000", "i0001", "i0002")
    forwarded = [
        message.pass_to
        for at_s in (0.4, 0.8, 1.2)
        for address, message in _messages(sender.tick(at_s)).items()
        if address != "i0003"
    ]
    assert ("i0003",) in forwarded


def test_a_large_fleet_gets_changes_by_one_relay_a_domain() -> None:
    """Guards against 1,299 connections of one prober, and dead relays."""
    members = fleet_members(1300, 10, 31)
    sender = _sender(members)
    sender.report_change(0.0, "t", Health.LEAVING)
    first = _messages(sender.tick(0.0))
    assert len(first) == 31
    reached = set(first).union(*(n.pass_to for n in first.values()))
    assert reached == {m.name for m in members}
    relay, lost = next(iter(first.items()))
    for address, message in first.items():
        if address != relay:
            _acknowledge(sender, "t", 1, address, *message.pass_to)
    again = _messages(sender.tick(0.4))
    assert len(again) == 1
    assert relay not in again
    assert set(next(iter(again.values())).pass_to) <= {relay, *lost.pass_to}


def test_a_restarted_member_receives_reports_on_bad_targets() -> None:
    """Guards against a restarted instance that uses a leaving target."""
    members = fleet_members(2, 1, 1)
    sender = _sender(members)
    sender.report_change(0.0, "bad", Health.LEAVING)
    sender.report_change(0.0, "good", Health.LEAVING)
    sender.report_change(0.0, "good", Health.OK)
    sender.tick(0.0)
    _acknowledge(sender, "bad", 1, "i0000", "i0001")
    _acknowledge(sender, "good", 2, "i0000", "i0001")
    again = replace(members[0], incarnation=members[0].incarnation + 1)
    sender.set_members(1.0, {"i0000": again, "i0001": members[1]})
    messages = _messages(sender.tick(1.0))
    assert set(messages) == {"i0000"}
    assert [c.target for c in messages["i0000"].changes] == ["bad"]
