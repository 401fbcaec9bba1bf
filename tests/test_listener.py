"""The listening socket of an instance that is shutting down."""

import socket

import eventlet
import pytest
from eventlet import hubs

from verbenad.listener import Listener, ListenerClosedError


def _listener() -> Listener:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return Listener(sock, lambda client: True, lambda: None)


def test_socket_is_closed_if_a_connection_arrives_with_the_stop() -> None:
    """Guards against callers that connect to an instance that is stopping.

    The accept loop was woken by a connection before the exception of the stop
    arrived, which then ended the loop without closing the socket.
    """
    listener = _listener()
    address = listener.getsockname()
    loop = eventlet.spawn(listener.accept)
    eventlet.sleep(0)
    hubs.get_hub().schedule_call_global(0, loop.switch)
    listener.stop()
    with pytest.raises(ListenerClosedError):
        loop.wait()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=1.0)


def test_stop_wakes_the_accept_loop() -> None:
    """Guards against a stop that waits for one more connection."""
    listener = _listener()
    loop = eventlet.spawn(listener.accept)
    eventlet.sleep(0)
    listener.stop()
    with eventlet.Timeout(5.0), pytest.raises(ListenerClosedError):
        loop.wait()
