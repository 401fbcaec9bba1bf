"""The stand-in for the network between instances and targets."""

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
    """Guards against a rate for each connection, and for each read anew."""
    rate = SharedLink(1000.0)
    assert rate.schedule_send(5.0, 1000) == 6.0
    assert rate.schedule_send(5.0, 500) == 6.5
    assert rate.schedule_send(9.0, 1000) == 10.0
    link = DelayLink(_NETWORK, {})
    assert link.link_between("a", "b") is link.link_between("a", "b")
    assert link.link_between("a", "b") is not link.link_between("b", "a")
    assert link.link_between("a", "a") is None


def test_delays_are_those_of_the_places() -> None:
    """Guards against delays of regions inside a region."""
    assert _NETWORK.delay_s(_HERE, _HERE) == 0.0
    assert _NETWORK.delay_s(_HERE, _NEXT) == 0.0015
    assert _NETWORK.delay_s(_HERE, _THERE) == 0.012


def test_whole_bodies_pass_and_are_counted_by_the_source_address() -> None:
    """Guards against traffic on the wrong link and bytes that are lost."""
    listener = eventlet.listen(("127.0.0.2", 0))
    server = eventlet.listen(("127.0.0.1", 0))

    def answer() -> None:
        while True:
            connection, _ = server.accept()
            received = 0
            while data := connection.recv(65536):
                received += len(data)
            connection.sendall(b"x" * (received // 2))
            connection.close()

    link = DelayLink(_NETWORK, {"127.0.1.1": _HERE, "127.0.1.2": _THERE})
    threads = [
        eventlet.spawn(answer),
        eventlet.spawn(link.serve, listener, server.getsockname(), _THERE),
    ]
    for source in ("127.0.1.1", "127.0.1.2"):
        client = eventlet.connect(listener.getsockname(), bind=(source, 0))
        client.sendall(b"y" * 3_000_000)
        client.shutdown(socket.SHUT_WR)
        received = 0
        while data := client.recv(65536):
            received += len(data)
        assert received == 1_500_000
    there, back = link.link_between("a", "b"), link.link_between("b", "a")
    assert there is not None and there.sent_bytes == 3_000_000
    assert back is not None and back.sent_bytes == 1_500_000
    for thread in threads:
        thread.kill()
