"""Load of a server, from its own reports and those of other instances."""

from verbenaworks.steering.server_load import ServerLoad


def test_load_falls_soon_after_a_peak() -> None:
    """Guards against refusals while servers are free.

    In run scale-1 on sankei-lots, a quarter of the slots were in use two
    seconds after a peak while every second request was refused.
    """
    load = ServerLoad(slots=3)
    load.set_peer_requests(0.0, 9.0)
    load.record_reported_load(0.0, 9.0)
    for step in range(1, 6):
        load.set_peer_requests(0.4 * step, 0.0)
    assert load.load(2.0) < 1.0


def test_servers_own_report_counts_first_and_ages() -> None:
    """Guards against old reports of peers that hide what a server says."""
    load = ServerLoad(slots=3)
    load.set_peer_requests(0.0, 6.0)
    load.record_reported_load(0.1, 1.0)
    load.record_reported_load(0.15, 1.0)
    assert load.load(0.16) < 2.0
    assert load.load(3.0) > 5.0


def test_refusal_by_an_idle_server_is_no_sign_of_load() -> None:
    """Guards against a whole service that seems full after a few refusals.

    In run scale-1 on sankei-lots, faulty servers rejected every second
    request without being busy.
    """
    idle, busy = ServerLoad(slots=3), ServerLoad(slots=3)
    busy.set_peer_requests(0.0, 5.0)
    for load in (idle, busy):
        load.record_refusal(0.1)
    assert idle.load(0.2) == 0.0
    assert busy.load(0.2) > 5.0


def test_objects_are_counted_since_the_last_request() -> None:
    """Guards against a wrong distance, from which cache sizes are learned."""
    load = ServerLoad(slots=3)
    for text in ("a", "b", "c", "b"):
        load.record_object(text)
    assert load.objects_since("b") == 0
    assert load.objects_since("c") == 1
    assert load.objects_since("a") == 2
    assert load.objects_since("d") is None
