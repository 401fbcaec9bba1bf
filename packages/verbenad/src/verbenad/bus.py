"""Messages between instances over pynng.

Each instance listens on one pull socket and dials one push socket per peer.
Delivery is best effort: a message that cannot be queued at once is dropped
and counted, because every protocol on top of the bus retries where needed.
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

# pynng runs callbacks on its own threads. Eventlet's locks do not work there
# and would block the event loop forever, so pynng gets the locks of the
# standard library.
pynng.nng.threading = original("threading")

SEND_QUEUE_LENGTH = 256
MAX_MESSAGE_BYTES = 2_000_000
# Counted instead of a message's type if it cannot be decoded.
MALFORMED = "malformed"
# Far above the intended size of a fleet. Senders choose the addresses in
# their frames, so the number of remembered peers must be bounded: above it,
# the oldest one without a connection is forgotten.
MAX_PEERS = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Sender:
    """The sender of a message.

    :ivar address: bus address for replies, ``host:port``.
    """

    name: str
    address: str


Handler = Callable[[Sender, Any], None]


class Bus:
    """Sends and receives messages.

    :param name: name of this instance.
    :param address: bus address of this instance, ``host:port``.
    :param now_s: monotonic clock.
    :param listen_address: address to listen on, if not ``address``.
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
        self._peers: dict[str, PeerConnection] = {}
        # The peer whose message is being handled. A message sent to it
        # meanwhile is a reply.
        self._replying_to: str | None = None
        # When the last message from each address arrived.
        self.last_received_s: dict[str, float] = {}
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
        peer = self._peer(address)
        now_s = self._now_s()
        socket = self._socket(address, peer, now_s)
        data = encode_frame(
            BusFrame(
                self.name,
                self._packed_address,
                peer.next_number(
                    now_s, is_answer=address == self._replying_to
                ),
                peer.received,
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
        peer = self._peer(address)
        peer.record_frame(now_s, frame.number, frame.acknowledged)
        self.last_received_s[address] = now_s
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
        self._replying_to = sender.address
        try:
            handler(sender, message)
        except Exception:
            # An exception must not end the loop that receives all messages.
            self.failed += 1
            _log.exception("a handler failed on {}", name)
        finally:
            self._replying_to = None
        return name

    def _peer(self, address: str) -> PeerConnection:
        peer = self._peers.get(address)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                self._forget_peer()
            peer = self._peers[address] = PeerConnection(secrets.randbits(16))
        return peer

    def _forget_peer(self) -> None:
        for address in self._peers:
            if address not in self._sockets:
                del self._peers[address]
                self.last_received_s.pop(address, None)
                return

    def _socket(
        self, address: str, peer: PeerConnection, now_s: float
    ) -> pynng.Push0:
        socket = self._sockets.get(address)
        if socket is not None:
            if not peer.needs_redial(now_s):
                return socket
            socket.close()
            peer.redialed()
            self.redialed += 1
        socket = pynng.Push0(send_buffer_size=SEND_QUEUE_LENGTH)
        socket.dial(f"tcp://{address}", block=False)
        self._sockets[address] = socket
        return socket
