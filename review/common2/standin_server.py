"""A sound backend server of the platform; cases derive faults from it."""

import contextlib
import socket
import struct
import threading
import time
from typing import Any


class StandinServer:
    """Answers each request after its work time.

    :ivar runs: time, tenant and id of each request that began to run.
    """

    def __init__(
        self, *, server_id: str, work_s: float = 0.0, slots: int = 64
    ) -> None:
        self.server_id = server_id
        self.slots = slots
        self.runs: list[tuple[float, str, str]] = []
        self._work_s = work_s
        self._sockets: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting."""
        self._listener.close()

    def accepts(self) -> bool:
        """Return whether new connections are served."""
        return True

    def reset_connections(self) -> None:
        """Reset all connections, as the end of the process does."""
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
                # Ends the read of another thread, which then closes it.
                sock.shutdown(socket.SHUT_RD)

    def respond(self, sock: socket.socket, head: dict[str, str]) -> bool:
        """Answer a request; return whether the connection stays open."""
        sock.sendall(self.success(head, b"done\n"))
        return True

    def success(self, head: dict[str, str], body: bytes) -> bytes:
        """Return a whole answer."""
        return (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {head['request-id']}\r\n"
            f"Response-Seal: {self.server_id}\r\n"
            f"Server-Load: 1,0,{self.slots}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if not self.accepts():
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        stream = sock.makefile("rb")
        try:
            while self._serve_one(sock, stream):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self._sockets.discard(sock)
            stream.close()
            sock.close()

    def _serve_one(self, sock: socket.socket, stream: Any) -> bool:
        line = stream.readline().decode("latin-1")
        if not line:
            return False
        head = {"method": line.split()[0], "path": line.split()[1]}
        while text := stream.readline().decode("latin-1").strip():
            name, _, value = text.partition(":")
            head[name.lower()] = value.strip()
        stream.read(int(head.get("content-length", 0)))
        if head.get("expect-instance", self.server_id) != self.server_id:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "
                + head["request-id"].encode()
                + b"\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        tenant = head.get("tenant-id", "")
        self.runs.append((time.monotonic(), tenant, head["request-id"]))
        if self._work_s:
            time.sleep(self._work_s)
        return self.respond(sock, head)
