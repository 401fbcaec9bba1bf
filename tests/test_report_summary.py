"""What the reports of several instances say together."""

import msgspec

from verbenaworks.steering.peer_report import PeerBeat, PeerReport
from verbenaworks.steering.region_requests import RegionRequests
from verbenaworks.steering.report_summary import (
    add_requests,
    pack_counts,
    requests_by_region,
    total_in_flight,
)
from verbenaworks.wire import decode, encode


def _report(
    in_flight: dict[str, int], bound: dict[str, int] | None = None
) -> PeerReport:
    return PeerReport(
        beat=PeerBeat(
            name="edge-1",
            incarnation=1,
            number=1,
            usable=True,
            leaving=False,
            active=True,
            load=0.0,
        ),
        in_flight=pack_counts(in_flight),
        usage={},
        crashes=(),
        missing=(),
        bound=pack_counts(bound or {}),
    )


def test_requests_are_added_up_by_region() -> None:
    """Guards against requests that count for the region of the server."""
    reports = [
        ("north", _report({"a": 2, "b": 1}, {"b": 1})),
        ("north", _report({"a": 1})),
        ("south", _report({"a": 5})),
    ]
    regions = requests_by_region(reports, ["a", "b"])
    assert regions["north"].in_flight == {"a": 3, "b": 1}
    assert regions["north"].bound == {"b": 1}
    assert regions["south"].in_flight == {"a": 5}
    assert total_in_flight(regions.values()) == {"a": 8, "b": 1}


def test_unknown_servers_are_left_out() -> None:
    """Guards against the load of servers that have left."""
    regions = requests_by_region([("north", _report({"gone": 3}))], ["a"])
    assert not regions["north"].in_flight


def test_own_requests_are_added() -> None:
    """Guards against a region whose first instance sees no demand."""
    first = add_requests(None, in_flight={"a": 1}, bound={})
    assert first == RegionRequests(in_flight={"a": 1}, bound={})
    both = add_requests(first, in_flight={"a": 1, "b": 2}, bound={"b": 2})
    assert both.in_flight == {"a": 2, "b": 2}
    assert both.bound == {"b": 2}


def test_report_of_an_older_version_is_read() -> None:
    """Guards against a fleet whose halves do not understand each other."""
    name, fields = msgspec.msgpack.decode(encode(_report({"a": 2})))
    old = msgspec.msgpack.encode([name, fields[:5]])
    assert decode(old).in_flight == pack_counts({"a": 2})
    assert decode(old).shares == {}
    assert decode(old).demand == {}
