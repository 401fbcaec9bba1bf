"""Messages between instances over pynng.

Each instance listens on one pull socket and dials one push socket per peer.
Messages are fire and forget: a message that cannot be queued at once is
dropped and counted, since every protocol above repeats what matters.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import eventlet
import logbook
import msgspec
import pynng
from eventlet.hubs import trampoline
from eventlet.patcher import original

from verbenad.bus_frame import (
    BusFrame,
    decode_frame,
    encode_frame,
    pack_address,
    unpack_address,
)
from verbenad.bus_traffic import BusTraffic
from verbenad.peer_connection import PeerConnection
from verbenaworks import WireError, decode, encode

_log = logbook.Logger("verbenad.bus")

# pynng runs callbacks on threads of its own, on which the locks of eventlet
# fail and leave the loop waiting for ever; it gets the locks of the standard
# library.
pynng.nng.threading = original("threading")

SEND_QUEUE_LENGTH = 256
MAX_MESSAGE_BYTES = 2_000_000
# Counted in place of a type's name where a message has none.
MALFORMED = "malformed"
# More links than this belong to no fleet of the intended size; the oldest
# one without a connection is forgotten, because peers choose addresses.
MAX_PEERS = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Sender:
    """Who sent a message.

    :ivar address: bus address for answers, ``host:port``.
    """

    name: str
    address: str


Handler = Callable[[Sender, Any], None]


class Bus:
    """Sends and receives messages.

    :param name: name of this instance.
    :param address: own bus address, ``host:port``.
    :param now_s: monotonic clock.
    :param listen_address: where to listen if not at ``address``.
    """

    def __init__(
        self,
        name: str,
        address: str,
        now_s: Callable[[], float],
        listen_address: str | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self._sender = Sender(name=name, address=address)
        self._now_s = now_s
        self._handlers: dict[type, Handler] = {}
        self._packed_address = pack_address(address)
        self._sockets: dict[str, pynng.Push0] = {}
        self._links: dict[str, PeerConnection] = {}
        # The peer whose message is being handled; what is sent to it
        # meanwhile is an answer.
        self._answered: str | None = None
        # When each address last sent anything.
        self.heard_at_s: dict[str, float] = {}
        self._inbox = pynng.Pull0(
            listen=f"tcp://{listen_address or address}",
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self.redialed = 0
        self.dropped = 0
        self.malformed = 0
        self.failed = 0
        self.sent = BusTraffic()
        self.received = BusTraffic()

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
        link = self._link(address)
        now_s = self._now_s()
        socket = self._socket(address, link, now_s)
        data = encode_frame(
            BusFrame(
                self.name,
                self._packed_address,
                link.number(now_s, is_answer=address == self._answered),
                link.received,
                msgspec.Raw(body),
            )
        )
        try:
            socket.send(data, block=False)
            self.sent.add(message_type.__name__, len(data))
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
            self.received.add(self._receive(data), len(data))

    def close(self) -> None:
        """Close all sockets."""
        self._inbox.close()
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()

    def _receive(self, data: bytes) -> str:
        """Handle received bytes and return the name of their type."""
        try:
            frame = decode_frame(data)
            address = unpack_address(frame.address)
        except WireError:
            self.malformed += 1
            return MALFORMED
        now_s = self._now_s()
        link = self._link(address)
        link.heard(now_s, frame.number, frame.acknowledged)
        self.heard_at_s[address] = now_s
        sender = Sender(name=frame.name, address=address)
        return self._deliver(sender, frame.body)

    def _deliver(self, sender: Sender, body: bytes | msgspec.Raw) -> str:
        try:
            message = decode(body)
        except WireError:
            self.malformed += 1
            return MALFORMED
        name = type(message).__name__
        handler = self._handlers.get(type(message))
        if handler is None:
            return name
        self._answered = sender.address
        try:
            handler(sender, message)
        except Exception:
            # One message must not end the loop that receives all others.
            self.failed += 1
            _log.exception("a handler failed on {}", name)
        finally:
            self._answered = None
        return name

    def _link(self, address: str) -> PeerConnection:
        link = self._links.get(address)
        if link is None:
            if len(self._links) >= MAX_PEERS:
                self._forget_link()
            link = self._links[address] = PeerConnection(secrets.randbits(16))
        return link

    def _forget_link(self) -> None:
        for address in self._links:
            if address not in self._sockets:
                del self._links[address]
                self.heard_at_s.pop(address, None)
                return

    def _socket(
        self, address: str, link: PeerConnection, now_s: float
    ) -> pynng.Push0:
        socket = self._sockets.get(address)
        if socket is not None:
            if not link.needs_redial(now_s):
                return socket
            socket.close()
            link.redialed()
            self.redialed += 1
        socket = pynng.Push0(send_buffer_size=SEND_QUEUE_LENGTH)
        socket.dial(f"tcp://{address}", block=False)
        self._sockets[address] = socket
        return socket
