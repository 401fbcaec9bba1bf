"""A TCP relay with delay and a limited rate, for links between regions."""

import time

import eventlet

READ_BYTES = 65536


class DelayLink:
    """Relays connections to one address.

    :param delay_s: one-way delay in seconds.
    :param bytes_per_s: rate of each direction of all connections together.
    """

    def __init__(
        self,
        target: tuple[str, int],
        delay_s: float,
        bytes_per_s: float = 500e6,
    ) -> None:
        self._target = target
        self._delay_s = delay_s
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self.is_cut = False

    def serve(self, listener: eventlet.greenio.GreenSocket) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            eventlet.spawn(self._relay, client)

    def _relay(self, client: eventlet.greenio.GreenSocket) -> None:
        try:
            server = eventlet.connect(self._target)
        except OSError:
            client.close()
            return
        eventlet.spawn(self._pump, client, server)
        eventlet.spawn(self._pump, server, client)

    def _pump(
        self,
        source: eventlet.greenio.GreenSocket,
        sink: eventlet.greenio.GreenSocket,
    ) -> None:
        queue: eventlet.queue.Queue = eventlet.queue.Queue(64)
        eventlet.spawn(self._send, queue, sink)
        while True:
            try:
                data = source.recv(READ_BYTES)
            except OSError:
                data = b""
            now_s = time.monotonic()
            self._free_at_s = max(self._free_at_s, now_s)
            self._free_at_s += len(data) / self._bytes_per_s
            queue.put((self._free_at_s + self._delay_s, data))
            if not data:
                return

    def _send(
        self, queue: eventlet.queue.Queue, sink: eventlet.greenio.GreenSocket
    ) -> None:
        while True:
            due_s, data = queue.get()
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            while self.is_cut:
                eventlet.sleep(0.05)
            try:
                if not data:
                    sink.close()
                    return
                sink.sendall(data)
            except OSError:
                return
