"""Messages between instances over pynng.

Each instance listens on one pull socket and dials one push socket per peer.
Messages are fire and forget: a message that cannot be queued at once is
dropped and counted, since every protocol above repeats what matters.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import eventlet
import logbook
import pynng
from eventlet.hubs import trampoline
from eventlet.patcher import original

from verbenaworks import WireError, decode, encode, wire_message

_log = logbook.Logger("verbenad.bus")

# pynng runs callbacks on threads of its own, on which the locks of eventlet
# fail and leave the loop waiting for ever; it gets the locks of the standard
# library.
pynng.nng.threading = original("threading")

SEND_QUEUE_LENGTH = 256
MAX_MESSAGE_BYTES = 2_000_000
# A peer that sent nothing for this long gets a new connection, because an
# open connection can go silent while new ones work.
REDIAL_AFTER_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Sender:
    """Who sent a message.

    :ivar address: bus address for answers, ``host:port``.
    """

    name: str
    address: str


Handler = Callable[[Sender, Any], None]


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class BusEnvelope:
    """A message with its sender."""

    sender: Sender
    body: bytes


@dataclass(kw_only=True, slots=True)
class _Peer:
    socket: pynng.Push0
    dialed_at_s: float


class Bus:
    """Sends and receives messages.

    :param name: name of this instance.
    :param address: own bus address, ``host:port``.
    :param now_s: monotonic clock.
    """

    def __init__(
        self, name: str, address: str, now_s: Callable[[], float]
    ) -> None:
        self.name = name
        self.address = address
        self._sender = Sender(name=name, address=address)
        self._now_s = now_s
        self._handlers: dict[type, Handler] = {}
        self._peers: dict[str, _Peer] = {}
        # When each address last sent anything.
        self.heard_at_s: dict[str, float] = {}
        self._inbox = pynng.Pull0(
            listen=f"tcp://{address}", recv_max_size=MAX_MESSAGE_BYTES
        )
        self.dropped = 0
        self.malformed = 0
        self.failed = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Call ``handler(sender, message)`` for each message."""
        self._handlers[message_type] = handler

    def send(self, address: str, message: Any) -> None:
        """Queue a message for the instance at ``address``."""
        self.send_encoded(address, encode(message), type(message))

    def send_encoded(
        self, address: str, body: bytes, message_type: type
    ) -> None:
        """Queue an encoded message; used to encode once for many peers."""
        if address == self.address:
            eventlet.spawn_n(self._deliver, self._sender, body)
            return
        data = encode(BusEnvelope(sender=self._sender, body=body))
        try:
            self._peer(address).socket.send(data, block=False)
            self.sent_bytes += len(data)
        except pynng.NNGException:
            self.dropped += 1

    def serve(self) -> None:
        """Receive messages until the bus is closed."""
        while True:
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                trampoline(self._inbox.recv_fd, read=True)
                continue
            except pynng.Closed:
                return
            self.received_bytes += len(data)
            self._receive(data)

    def close(self) -> None:
        """Close all sockets."""
        self._inbox.close()
        for peer in self._peers.values():
            peer.socket.close()
        self._peers.clear()

    def _receive(self, data: bytes) -> None:
        try:
            envelope = decode(data)
        except WireError:
            self.malformed += 1
            return
        if not isinstance(envelope, BusEnvelope):
            self.malformed += 1
            return
        self.heard_at_s[envelope.sender.address] = self._now_s()
        self._deliver(envelope.sender, envelope.body)

    def _deliver(self, sender: Sender, body: bytes) -> None:
        try:
            message = decode(body)
        except WireError:
            self.malformed += 1
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(sender, message)
        except Exception:
            # One message must not end the loop that receives all others.
            self.failed += 1
            _log.exception("a handler failed on {}", type(message).__name__)

    def _peer(self, address: str) -> _Peer:
        now_s = self._now_s()
        peer = self._peers.get(address)
        if peer is not None:
            heard_at_s = self.heard_at_s.get(address, 0.0)
            if now_s - max(heard_at_s, peer.dialed_at_s) <= REDIAL_AFTER_S:
                return peer
            peer.socket.close()
        socket = pynng.Push0(send_buffer_size=SEND_QUEUE_LENGTH)
        socket.dial(f"tcp://{address}", block=False)
        peer = _Peer(socket=socket, dialed_at_s=now_s)
        self._peers[address] = peer
        return peer
