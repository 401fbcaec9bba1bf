"""Limits that servers name, as several instances share them."""

import pytest

from steering_factories import placement, route, server
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.server_limits import LAPSE_S, ServerLimits
from verbenaworks.steering.server_senders import ServerSenders
from verbenaworks.steering.server_table import ServerTable

SERVER = server("s")
STEP_S = 0.01
WINDOW_S = 4.0


def _instances(count: int, region: str = SERVER.region) -> list[ServerLimits]:
    names = {f"i{number}": region for number in range(count)}
    fleet = []
    for name in names:
        senders = ServerSenders(name, region)
        senders.set_instances(names)
        fleet.append(ServerLimits(senders=senders))
    return fleet


def _sent_times_s(
    fleet: list[ServerLimits], from_s: float, to_s: float
) -> list[float]:
    """Send as many requests as the limits allow."""
    sent_s = []
    for step in range(round((to_s - from_s) / STEP_S)):
        now_s = from_s + step * STEP_S
        for limits in fleet:
            while limits.allows(now_s, SERVER, 0):
                limits.record_request(now_s, SERVER)
                sent_s.append(now_s)
    return sent_s


def _most_in_window(sent_s: list[float]) -> int:
    return max(
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in sent_s)
        for start_s in sent_s
    )


def _tell(fleet: list[ServerLimits], now_s: float) -> None:
    """Let all instances report to all others."""
    for sender in fleet:
        packed = sender.packed(now_s, [SERVER])
        for receiver in fleet:
            if receiver is not sender:
                receiver.record_peer(now_s, packed, [SERVER])


@pytest.mark.parametrize("count", [1, 3, 11, 70])
@pytest.mark.parametrize("limit_per_s", [0.5, 2.6, 30.0])
def test_instances_share_one_limit(count: int, limit_per_s: float) -> None:
    """Guards against instances that send the whole limit each."""
    fleet = _instances(count)
    fleet[0].record_response(0.0, SERVER, limit_per_s)
    _tell(fleet, 0.0)
    sent_s = _sent_times_s(fleet, 0.0, 40.0)
    assert _most_in_window(sent_s) <= limit_per_s * WINDOW_S + 5
    # Most of what the server can take is used.
    assert len(sent_s) >= 0.7 * 40 * limit_per_s


def test_limit_of_zero_leaves_requests_that_ask_for_it() -> None:
    """Guards against a server that nobody asks whether it has recovered."""
    fleet = _instances(3)
    fleet[0].record_response(0.0, SERVER, 0.0)
    _tell(fleet, 0.0)
    assert 1 <= len(_sent_times_s(fleet, 0.0, 40.0)) <= 5


def test_instance_that_is_cut_off_sends_nothing_to_limited_servers() -> None:
    """Guards against requests beyond those of the sender that replaces it."""
    fleet = _instances(3)
    for limits in fleet:
        limits.record_response(0.0, SERVER, 6.0)
        limits.connect(
            is_connected=lambda: False,
            on_change=lambda server, limit_per_s: None,
        )
    assert not _sent_times_s(fleet, 0.0, 5.0)


def test_instance_that_starts_sends_few_requests_before_it_knows() -> None:
    """Guards against a new instance that sends at full rate for a moment."""
    limits = _instances(3)[0]
    assert limits.allows(0.0, SERVER, 1)
    assert not limits.allows(0.0, SERVER, 2)
    assert limits.allows(2.0, SERVER, 2)


def test_newer_statement_of_a_peer_ends_a_limit() -> None:
    """Guards against instances that keep a limit that has ended."""
    fleet = _instances(3)
    for limits in fleet:
        limits.record_response(0.0, SERVER, 2.6)
    fleet[0].record_response(5.0, SERVER, None)
    _tell(fleet, 5.1)
    assert [limits.limit_per_s(5.2, SERVER) for limits in fleet] == [None] * 3


def test_older_statement_of_a_peer_does_not_end_a_limit() -> None:
    """Guards against a delayed report that lifts a limit."""
    fleet = _instances(2)
    fleet[0].record_response(0.0, SERVER, 1.0)
    fleet[0].record_response(1.0, SERVER, None)
    fleet[1].record_response(2.0, SERVER, 2.6)
    _tell(fleet[:1] + fleet[1:], 2.5)
    assert fleet[1].limit_per_s(2.6, SERVER) == 2.6


def test_limit_does_not_outlive_the_server() -> None:
    """Guards against a server that starts again and is held back."""
    limits = _instances(1)[0]
    limits.record_response(0.0, SERVER, 2.6)
    restarted = server("s", started_at_ms=SERVER.started_at_ms + 1)
    assert limits.limit_per_s(0.1, restarted) is None
    assert limits.limit_per_s(LAPSE_S + 0.1, SERVER) is None


def _placement_request() -> PlacementRequest:
    return PlacementRequest(
        route=route(),
        service="stock",
        affinity_key="7",
        time_left_s=1.5,
        home_regions=frozenset(),
    )


def test_request_that_fits_no_limit_is_refused() -> None:
    """Guards against requests that wait for servers that take no more."""
    table = ServerTable()
    limits = ServerLimits(senders=ServerSenders("one", "north"))
    for server_id in ("a", "b"):
        table.report(0.0, server(server_id))
        limits.record_response(0.0, server(server_id), 0.5)
    chosen = placement(table, limits=limits).choose(
        0.1, _placement_request(), 1.0
    )
    assert isinstance(chosen, PlacementRefused)
    assert chosen.reason is RefusalReason.SERVER_LIMIT
    assert chosen.retry_after_s > 0


def test_limited_server_is_asked_in_an_overload() -> None:
    """Guards against a limit that nobody renews while others are overloaded.

    On a busy machine, a limited server got no request for 5 s.
    """
    table = ServerTable()
    limits = ServerLimits(senders=ServerSenders("one", "north"))
    limited, other = server("a"), server("b")
    for entry in (limited, other):
        table.report(0.0, entry)
    choice = placement(table, limits=limits)
    limits.record_response(0.0, limited, 2.6)
    chosen = []
    for step in range(100):
        now_s = step / 10
        choice.load_of(limited).record_reported_load(now_s, 40)
        choice.load_of(other).record_reported_load(now_s, 12)
        placed = choice.choose(now_s, _placement_request(), 1.0)
        if isinstance(placed, Placed):
            chosen.append(placed.server.server_id)
    assert "a" in chosen


def test_object_returns_to_its_home_after_the_limit() -> None:
    """Guards against a server that stays idle after its trouble is over."""
    table = ServerTable()
    limits = ServerLimits(senders=ServerSenders("one", "north"))
    servers = {name: server(name) for name in ("a", "b")}
    for entry in servers.values():
        table.report(0.0, entry)
    choice = placement(table, limits=limits)
    request = _placement_request()

    def send(now_s: float) -> str:
        placed = choice.choose(now_s, request, 1.0)
        assert isinstance(placed, Placed)
        choice.record_response(now_s + 0.05, request, placed, 0.05)
        return placed.server.server_id

    home = send(0.0)
    limits.record_response(1.0, servers[home], 0.5)
    assert {send(1.0 + n / 10) for n in range(5)} == {*servers} - {home}
    limits.record_response(2.0, servers[home], None)
    assert send(2.1) == home
