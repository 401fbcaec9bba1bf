"""Stand-in for a backend server that follows the users' pages."""

import itertools
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from deployment import Deployment, server_entry

HEARTBEAT_S = 1.5
Head = dict[str, str]


class Server:
    """Reads requests, checks the expected instance and calls ``answer``.

    :param answer: sends the answer to a request on a connection; returns
        whether the connection stays open.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        server_id: str,
        service_name: str,
        zone: str,
        slots: int,
        answer: Callable[[socket.socket, Head], bool],
    ) -> None:
        self.server_id = server_id
        self._deployment = deployment
        self._service_name = service_name
        self._zone = zone
        self._slots = slots
        self._answer = answer
        self._sequence = itertools.count(1)
        self._born_ms = int(time.time() * 1000)
        self._closed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._report()
        for target in (self._accept, self._beat):
            threading.Thread(target=target, daemon=True).start()
        deployment.at_end(self.close)

    def close(self) -> None:
        """Stop accepting and reporting."""
        self._closed.set()
        self._listener.close()

    def _report(self) -> None:
        entry = server_entry(
            address=self.address,
            service_name=self._service_name,
            zone=self._zone,
            slots=self._slots,
            sequence=next(self._sequence),
            born_ms=self._born_ms,
        )
        self._deployment.store.put(f"servers/{self.server_id}", entry)

    def _beat(self) -> None:
        while not self._closed.wait(HEARTBEAT_S):
            self._report()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as stream:
            try:
                while self._serve_one(sock, stream):
                    pass
            except OSError:
                return

    def _serve_one(self, sock: socket.socket, stream: Any) -> bool:
        line = stream.readline().decode("latin-1")
        if not line:
            return False
        method, target, _ = line.split()
        head = {":method": method, ":target": target}
        while (field := stream.readline().decode("latin-1").strip()) != "":
            name, _, value = field.partition(":")
            head[name.lower()] = value.strip()
        stream.read(int(head.get("content-length", 0)))
        if head.get("expect-instance", self.server_id) != self.server_id:
            sock.sendall(refusal(head, "421 Misdirected Request"))
            return True
        return self._answer(sock, head)


def success(head: Head, body: bytes, *extra: str) -> bytes:
    """Return a whole answer with status 200."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {head.get('request-id', '')}",
        f"Response-Seal: seal.{head.get('request-id', '')}",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def refusal(
    head: Head, status: str = "503 Service Unavailable", body: bytes = b""
) -> bytes:
    """Return an answer that says that the request did not run."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Request-Id: {head.get('request-id', '')}",
        "Not-Executed: 1",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
