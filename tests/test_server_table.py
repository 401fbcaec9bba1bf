"""Which backend servers get requests."""

from steering_factories import server
from verbenaworks.steering.server_table import EXPIRY_GRACE_S, ServerTable


def _ids(table: ServerTable) -> list[str]:
    return [s.server_id for s in table.usable("stock")]


def test_draining_server_is_not_usable() -> None:
    """Guards against new requests to a server that is leaving."""
    table = ServerTable()
    table.report(0.0, server("a"))
    table.report(0.0, server("b"))
    table.report(1.0, server("a", draining=True, sequence=2))
    assert _ids(table) == ["b"]


def test_late_report_does_not_undo_a_newer_one() -> None:
    """Guards against a draining server that a late report revives."""
    table = ServerTable()
    table.report(0.0, server("a", draining=True, sequence=5))
    assert not table.report(1.0, server("a", sequence=4))
    assert _ids(table) == []
    table.remove(2.0, "a")
    assert not table.report(3.0, server("a", sequence=4))
    assert _ids(table) == []


def test_restart_under_the_same_id_is_accepted() -> None:
    """Guards against ignoring a restarted server with a reset sequence."""
    table = ServerTable()
    table.report(0.0, server("a", draining=True, sequence=50))
    assert table.report(1.0, server("a", sequence=1, started_at_ms=2000))
    assert _ids(table) == ["a"]
    old = server("a", sequence=50)
    assert not table.is_usable(old)


def test_removed_server_is_gone_at_once() -> None:
    """Guards against requests to a server whose report is gone."""
    table = ServerTable()
    table.report(0.0, server("a"))
    table.remove(10.0, "a")
    assert _ids(table) == []


def test_expired_report_is_kept_after_an_outage() -> None:
    """Guards against losing all servers when reports expire in an outage."""
    table = ServerTable()
    table.report(0.0, server("a"))
    table.report(0.0, server("b"))
    table.record_store_recovery(20.0)
    table.remove(20.1, "a")
    table.remove(20.1, "b")
    assert _ids(table) == ["a", "b"]
    table.report(21.0, server("b", sequence=2))
    table.expire(20.0 + EXPIRY_GRACE_S)
    assert _ids(table) == ["b"]


def test_draining_server_is_not_kept_after_an_outage() -> None:
    """Guards against a server that left during an outage of the store."""
    table = ServerTable()
    table.report(0.0, server("a", draining=True))
    table.record_store_recovery(20.0)
    table.remove(20.1, "a")
    assert len(table) == 0


def test_evacuated_domain_gets_nothing() -> None:
    """Guards against requests to an evacuated failure domain."""
    table = ServerTable()
    table.report(0.0, server("a"))
    table.report(0.0, server("b", failure_domain="south-a"))
    table.set_evacuated("north-a", True)
    assert _ids(table) == ["b"]
    table.set_evacuated("north-a", False)
    assert _ids(table) == ["a", "b"]


def test_complete_listing_removes_the_rest() -> None:
    """Guards against servers that left while the store dropped its history."""
    table = ServerTable()
    table.report(0.0, server("a"))
    table.report(0.0, server("b"))
    table.remove_unlisted(10.0, {"b"})
    assert _ids(table) == ["b"]
