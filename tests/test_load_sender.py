"""Batches of load reports."""

from random import Random

import msgspec

from health_harness import fleet_members
from verbenad.bus_frame import BusFrame, encode_frame, pack_address
from verbenaworks import encode
from verbenaworks.health_messages import LoadBatch
from verbenaworks.load_report import LoadReport
from verbenaworks.load_sender import LOAD_BYTES_PER_S, LoadSender


def test_batches_keep_to_their_bytes_at_any_size() -> None:
    """Guards against load reports that exceed the network limit."""
    for instances, reports in ((11, 5), (64, 40), (1300, 3), (1300, 40)):
        sender = LoadSender(Random(1))
        members = fleet_members(instances, 10, 31)
        sender.set_members({m.bus_address: m for m in members})
        sent = 0
        for tick in range(600):
            for number in range(reports):
                sender.add_report(
                    f"catalogue/t{number}",
                    "d01",
                    tick / 10,
                    LoadReport(in_flight=12, queued=3),
                )
            for send in sender.tick(tick / 10):
                frame = BusFrame(
                    name="matunda-01",
                    address=pack_address("127.0.0.1:1840"),
                    number=1000,
                    acknowledged=1000,
                    body=msgspec.Raw(encode(send.message)),
                )
                sent += len(encode_frame(frame))
        assert sent / 60 <= 1.15 * LOAD_BYTES_PER_S, (instances, reports)


def test_old_reports_are_omitted_and_all_members_get_batches() -> None:
    """Guards against outdated loads, and members without batches."""
    sender = LoadSender(Random(1))
    members = fleet_members(10, 3, 6)
    sender.set_members({m.bus_address: m for m in members})
    sender.add_report("t", "d01", 0.0, LoadReport(in_flight=1))
    first, later = set(), []
    for tick in range(200):
        for send in sender.tick(tick / 10):
            first.add(send.address)
            assert isinstance(send.message, LoadBatch)
            if tick > 101:
                later += send.message.loads
    assert first == {m.bus_address for m in members}
    assert later == []
