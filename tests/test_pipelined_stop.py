"""Planned stops beside callers that pipeline their requests."""

import json
import re

from edge_process import edge, read_to_end


def _get(path: str) -> bytes:
    return f"GET /{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


def test_stop_cuts_off_no_request_behind_which_another_waits() -> None:
    """Guards against a stop that ends a connection with a running request.

    While the first request runs, the second one gets the last response of the
    connection. The third one wakes the reader before the stop does.
    """
    with edge(pipelined=True) as server, server.connect() as sock:
        sock.sendall(_get("late"))
        server.wait_for_text("running")
        server.process.terminate()
        server.wait_for_text("draining")
        sock.sendall(_get("echo?second") + _get("echo?third"))
        response = read_to_end(sock)
        assert json.loads(server.process.stdout.readline()) == {
            "finished": True
        }
    assert re.findall(rb"HTTP/1\.1 (\d+)", response) == [b"200", b"200"]
    assert b"finished late" in response
    assert b"/echo?second" in response


def test_stop_leaves_the_wait_for_running_requests_alone() -> None:
    """Guards against an interruption that arrives in a later wait.

    Many connections draw the order in which the reader and the stop are woken.
    """
    with edge(pipelined=True) as server:
        socks = [server.connect() for _ in range(20)]
        for sock in socks:
            sock.sendall(_get("late"))
            server.wait_for_text("running")
        server.process.terminate()
        server.wait_for_text("draining")
        for number, sock in enumerate(socks):
            for index in range(1 + number % 4):
                sock.sendall(_get(f"echo?{index}"))
        responses = [read_to_end(sock) for sock in socks]
        for sock in socks:
            sock.close()
    for response in responses:
        assert b"finished late" in response
        # What is sent behind the last response is sent again elsewhere.
        assert response.count(b"Connection: close") == 1
