"""Servers that leave or want a pause, as one instance places requests."""

from steering_factories import placement, route, server
from verbenaworks.steering.placement_result import (
    Placed,
    PlacementRefused,
    PlacementRequest,
    RefusalReason,
)
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_pauses import (
    MAX_PAUSE_S,
    RETURN_S,
    ServerPauses,
)
from verbenaworks.steering.server_senders import ServerSenders
from verbenaworks.steering.server_table import (
    REMOVED_RETENTION_S,
    ServerTable,
)

SERVER = server("s")


def _request(key: str = "7") -> PlacementRequest:
    return PlacementRequest(
        route=route(),
        service="stock",
        affinity_key=key,
        time_left_s=1.5,
        home_regions=frozenset(),
    )


def test_longest_pause_counts() -> None:
    """Guards against a pause that a later refusal cuts short."""
    changes: list[float] = []
    pauses = ServerPauses(on_pause=lambda _, left_s: changes.append(left_s))
    pauses.record_pause(0.0, SERVER, 4.0)
    pauses.record_pause(1.0, SERVER, 1.0)
    assert not pauses.allows(3.9, SERVER, 0)
    pauses.record_pause(2.0, SERVER, 5.0)
    assert pauses.left_s(4.0, SERVER) == 3.0
    # Only what changes the end is reported.
    assert changes == [4.0, 5.0]


def test_no_pause_lasts_for_ever() -> None:
    """Guards against a value that takes a server out of use."""
    pauses = ServerPauses()
    pauses.record_pause(0.0, SERVER, 1e40)
    assert not pauses.allows(MAX_PAUSE_S - 1, SERVER, 0)
    assert pauses.allows(MAX_PAUSE_S, SERVER, 0)


def test_requests_return_a_few_at_a_time() -> None:
    """Guards against a server that is full the moment its pause ends."""
    pauses = ServerPauses()
    pauses.record_pause(0.0, SERVER, 1.0)
    assert pauses.allows(1.0, SERVER, 0)
    assert not pauses.allows(1.0, SERVER, 1)
    assert pauses.allows(1.0 + RETURN_S, SERVER, SERVER.slots - 1)
    pauses.forget(1.1 + RETURN_S)
    assert pauses.allows(1.1 + RETURN_S, SERVER, 100)


def test_pause_does_not_outlive_the_server() -> None:
    """Guards against a server that starts again and gets nothing."""
    pauses = ServerPauses()
    pauses.record_pause(0.0, SERVER, 60.0)
    restarted = server("s", started_at_ms=SERVER.started_at_ms + 1)
    assert pauses.allows(0.1, restarted, 0)


def test_paused_server_gets_neither_first_nor_limited_requests() -> None:
    """Guards against a path that has a check of its own.

    The server joins, is cold and has a limit that wants to be renewed.
    """
    table = ServerTable()
    pauses = ServerPauses()
    limits = ServerLimits(senders=ServerSenders("one", "north"))
    choice = placement(table, limits=limits, pauses=pauses)
    table.report(0.0, server("old"))
    choice.choose(0.0, _request(), 5.0)
    joined = server("new", cold_left_s=3.0)
    table.report(1.0, joined)
    limits.record_response(1.0, joined, 2.0)
    pauses.record_pause(1.0, joined, 20.0)
    for step in range(150):
        placed = choice.choose(1.0 + step / 10, _request(str(step)), 5.0)
        assert isinstance(placed, Placed)
        assert placed.server.server_id == "old"


def test_refusal_names_the_end_of_the_first_pause() -> None:
    """Guards against callers that return while every server wants a pause."""
    table = ServerTable()
    pauses = ServerPauses()
    for number, pause_s in enumerate((9.0, 4.0, 6.0)):
        entry = server(f"s{number}")
        table.report(0.0, entry)
        pauses.record_pause(0.0, entry, pause_s)
    choice = placement(table, pauses=pauses)
    refused = choice.choose(1.0, _request(), 1.0)
    assert isinstance(refused, PlacementRefused)
    assert refused.reason is RefusalReason.SERVER_PAUSED
    assert 3.0 <= refused.retry_after_s <= 3.5
    assert 3.0 <= choice.refuse_service(1.0, "stock", 1.0).retry_after_s <= 3.5


def test_leaving_holds_until_the_process_has_ended() -> None:
    """Guards against reports that are older than what the server says."""
    table = ServerTable()
    table.report(0.0, SERVER)
    assert table.record_leaving(1.0, SERVER)
    assert not table.record_leaving(1.1, SERVER)
    table.report(2.0, server("s", sequence=9))
    assert table.usable("stock") == ()
    table.remove(3.0, "s")
    table.report(4.0, server("s", sequence=10))
    assert table.usable("stock") == ()
    restarted = server("s", started_at_ms=SERVER.started_at_ms + 1)
    table.report(5.0, restarted)
    assert table.usable("stock") == (restarted,)
    # Nothing is kept of servers that ended long ago.
    late_s = 2.0 + REMOVED_RETENTION_S
    assert table.record_leaving(late_s, restarted)
    assert table.leaving_since(0.0) == [restarted]
