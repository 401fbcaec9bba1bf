"""Tests of the relay that simulates the network's delays and rates."""

import socket

import eventlet

from standins.delay_link import DelayLink, Location, Network, SharedLink

_HERE = Location(region="a", failure_domain="a-1")
_NEXT = Location(region="a", failure_domain="a-2")
_THERE = Location(region="b", failure_domain="b-1")
_NETWORK = Network(
    domain_delay_s=0.0015, region_delay_s=0.012, bytes_per_s=500e6
)


def test_connections_share_the_rate_of_a_direction() -> None:
    """Guards against a rate that is not shared by all data of a direction."""
    link = SharedLink(1000.0)
    assert link.schedule_send(5.0, 1000) == 6.0
    assert link.schedule_send(5.0, 500) == 6.5
    assert link.schedule_send(9.0, 1000) == 10.0
    relay = DelayLink(_NETWORK, {})
    assert relay.link_between("a", "b") is relay.link_between("a", "b")
    assert relay.link_between("a", "b") is not relay.link_between("b", "a")
    assert relay.link_between("a", "a") is None


def test_delay_depends_on_both_locations() -> None:
    """Guards against a region delay between locations of one region."""
    assert _NETWORK.delay_s(_HERE, _HERE) == 0.0
    assert _NETWORK.delay_s(_HERE, _NEXT) == 0.0015
    assert _NETWORK.delay_s(_HERE, _THERE) == 0.012


def test_whole_bodies_pass_and_are_counted_by_the_source_address() -> None:
    """Guards against lost bytes and traffic counted on the wrong link."""
    listener = eventlet.listen(("127.0.0.2", 0))
    server = eventlet.listen(("127.0.0.1", 0))

    def respond() -> None:
        while True:
            connection, _ = server.accept()
            received = 0
            while data := connection.recv(65536):
                received += len(data)
            connection.sendall(b"x" * (received // 2))
            connection.close()

    relay = DelayLink(_NETWORK, {"127.0.1.1": _HERE, "127.0.1.2": _THERE})
    threads = [
        eventlet.spawn(respond),
        eventlet.spawn(relay.serve, listener, server.getsockname(), _THERE),
    ]
    for source in ("127.0.1.1", "127.0.1.2"):
        client = eventlet.connect(listener.getsockname(), bind=(source, 0))
        client.sendall(b"y" * 3_000_000)
        client.shutdown(socket.SHUT_WR)
        received = 0
        while data := client.recv(65536):
            received += len(data)
        assert received == 1_500_000
    forward, backward = (
        relay.link_between("a", "b"),
        relay.link_between("b", "a"),
    )
    assert forward is not None and forward.sent_bytes == 3_000_000
    assert backward is not None and backward.sent_bytes == 1_500_000
    for thread in threads:
        thread.kill()
