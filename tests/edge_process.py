"""Starts tests/edge_server.py and talks to it over raw sockets."""

import contextlib
import json
import re
import socket
import struct
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

WAIT_S = 20.0
_START = (
    "import sys; sys.path.insert(0, sys.argv.pop(1));"
    " import verbenad.monkey_patched, edge_server; edge_server.main()"
)


class EdgeProcess:
    """A running HTTP server."""

    def __init__(self, **options: Any) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-c",
                _START,
                str(Path(__file__).parent),
                json.dumps(options),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.port: int = self.read_line()["port"]
        self.errors = ""

    def read_line(self) -> Any:
        """Return the next JSON line that the process prints."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            assert self.process.stderr is not None
            raise AssertionError(self.process.stderr.read())
        return json.loads(line)

    def wait_for_text(self, text: str) -> None:
        """Wait until the process prints this line."""
        assert self.process.stdout is not None
        while self.process.stdout.readline().strip() != text:
            assert self.process.poll() is None

    def connect(self) -> socket.socket:
        """Return a new connection to the HTTP server."""
        return socket.create_connection(("127.0.0.1", self.port), WAIT_S)

    def exchange(self, data: bytes, *, half_close: bool = False) -> bytes:
        """Send raw bytes and return all bytes until the close."""
        with self.connect() as sock:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            return read_to_end(sock)

    def state(self) -> dict[str, Any]:
        """Return the counters and the memory of the process."""
        raw = self.exchange(
            b"GET /state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        return json.loads(raw.partition(b"\r\n\r\n")[2])

    def stop(self) -> Any:
        """Close gracefully and return what the process reports."""
        self.process.terminate()
        try:
            return self.read_line()
        finally:
            self.process.wait(WAIT_S)
            self.close()

    def close(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(WAIT_S)
        if self.process.stderr is not None and not self.process.stderr.closed:
            self.errors = self.process.stderr.read()
            self.process.stderr.close()
        if self.process.stdout is not None:
            self.process.stdout.close()


@contextlib.contextmanager
def edge(**options: Any) -> Iterator[EdgeProcess]:
    """Run an HTTP server for the duration of a ``with`` block."""
    process = EdgeProcess(**options)
    try:
        yield process
    finally:
        process.close()


class RawBackend:
    """A backend server whose handler uses the raw socket.

    :param handler: called with each connection and its number.
    """

    def __init__(
        self, handler: Callable[["BackendConnection", int], None]
    ) -> None:
        self._handler = handler
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.address = ("127.0.0.1", self.port)
        self.accepted = 0
        self._threads: list[threading.Thread] = []
        self._sockets: list[socket.socket] = []
        self._accepter = threading.Thread(target=self._accept, daemon=True)
        self._accepter.start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            self._sockets.append(sock)
            thread = threading.Thread(
                target=self._run, args=(sock, self.accepted), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def _run(self, sock: socket.socket, number: int) -> None:
        sock.settimeout(WAIT_S)
        with sock, contextlib.suppress(OSError, EOFError):
            self._handler(BackendConnection(sock), number)

    def close(self) -> None:
        """Stop accepting and close every connection."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._accepter.join(WAIT_S)
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join(WAIT_S)


@contextlib.contextmanager
def raw_backend(
    handler: Callable[["BackendConnection", int], None],
) -> Iterator[RawBackend]:
    """Run a backend server for the duration of a ``with`` block."""
    backend = RawBackend(handler)
    try:
        yield backend
    finally:
        backend.close()


class BackendConnection:
    """One connection to a :class:`RawBackend`."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def read_head(self) -> bytes:
        """Return the next request head."""
        while b"\r\n\r\n" not in self.buffer:
            self._fill()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        return head

    def read_exactly(self, count: int) -> bytes:
        """Return ``count`` bytes."""
        while len(self.buffer) < count:
            self._fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_until(self, delimiter: bytes) -> bytes:
        """Return everything up to and with ``delimiter``."""
        while delimiter not in self.buffer:
            self._fill()
        data, _, self.buffer = self.buffer.partition(delimiter)
        return data + delimiter

    def read_request(self) -> tuple[bytes, bytes]:
        """Return the head and the body of the next request."""
        head = self.read_head()
        length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        if length:
            return head, self.read_exactly(int(length.group(1)))
        if re.search(rb"(?i)\r\ntransfer-encoding: chunked", head):
            return head, self.read_until(b"0\r\n\r\n")
        return head, b""

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.sock.sendall(data)

    def wait_for_close(self) -> None:
        """Wait until the other side closes."""
        while self.sock.recv(65536):
            pass

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.sock.close()

    def _fill(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data


def read_to_end(sock: socket.socket) -> bytes:
    """Return all bytes until the connection is closed or reset."""
    pieces = []
    with contextlib.suppress(ConnectionResetError):
        while piece := sock.recv(65536):
            pieces.append(piece)
    return b"".join(pieces)
