"""A TCP relay with the delays and shared rates of a deployment's network.

One process relays the connections of all entry instances to all targets. It
tells the failure domain of an instance by the source address of the
connection, and that of a target by the port.
"""

import time
from dataclasses import dataclass

import eventlet

READ_BYTES = 65536
# Reads on their way in one direction of a connection; more than the product
# of rate and delay of a link, so that the delay does not limit the rate.
QUEUE_READS = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """A failure domain and its region."""

    region: str
    failure_domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Network:
    """Delays and rates between places.

    :ivar bytes_per_s: rate of each direction between two regions.
    """

    domain_delay_s: float
    region_delay_s: float
    bytes_per_s: float

    def delay_s(self, one: Location, other: Location) -> float:
        """Return the one-way delay between two places."""
        if one.region != other.region:
            return self.region_delay_s
        if one.failure_domain != other.failure_domain:
            return self.domain_delay_s
        return 0.0


class SharedLink:
    """The rate of one direction between two regions.

    All connections share it: each read is sent after those before it.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self.sent_bytes = 0

    def schedule_send(self, now_s: float, size_bytes: int) -> float:
        """Return when the last of some bytes leaves, and occupy the link."""
        self._free_at_s = max(self._free_at_s, now_s)
        self._free_at_s += size_bytes / self._bytes_per_s
        self.sent_bytes += size_bytes
        return self._free_at_s


class DelayLink:
    """Relays connections between the places of a network.

    :param instances: the place of each source address.
    """

    def __init__(
        self, network: Network, instances: dict[str, Location]
    ) -> None:
        self._network = network
        self._instances = instances
        self._rates: dict[tuple[str, str], SharedLink] = {}

    def link_between(self, source: str, target: str) -> SharedLink | None:
        """Return the link between two regions; none inside a region."""
        if source == target:
            return None
        rate = self._rates.get((source, target))
        if rate is None:
            rate = SharedLink(self._network.bytes_per_s)
            self._rates[source, target] = rate
        return rate

    def serve(
        self,
        listener: eventlet.greenio.GreenSocket,
        address: tuple[str, int],
        place: Location,
    ) -> None:
        """Relay connections to one target until the listener is closed."""
        while True:
            try:
                client, (source, _) = listener.accept()
            except OSError:
                return
            # A connection from elsewhere, such as one of a test, is local.
            instance = self._instances.get(source, place)
            eventlet.spawn_n(self._relay, client, instance, address, place)

    def _relay(
        self,
        client: eventlet.greenio.GreenSocket,
        instance: Location,
        address: tuple[str, int],
        place: Location,
    ) -> None:
        delay_s = self._network.delay_s(instance, place)
        # The handshake takes a round trip.
        eventlet.sleep(2 * delay_s)
        try:
            server = eventlet.connect(address)
        except OSError:
            client.close()
            return
        there = self.link_between(instance.region, place.region)
        back = self.link_between(place.region, instance.region)
        first = eventlet.spawn(_pump, client, server, delay_s, there)
        second = eventlet.spawn(_pump, server, client, delay_s, back)
        first.wait()
        second.wait()
        client.close()
        server.close()


def _pump(
    source: eventlet.greenio.GreenSocket,
    sink: eventlet.greenio.GreenSocket,
    delay_s: float,
    rate: SharedLink | None,
) -> None:
    queue: eventlet.queue.Queue = eventlet.queue.Queue(QUEUE_READS)
    sender = eventlet.spawn(_send, queue, sink)
    while True:
        try:
            data = source.recv(READ_BYTES)
        except OSError:
            data = b""
        due_s = time.monotonic()
        if rate is not None:
            due_s = rate.schedule_send(due_s, len(data))
        queue.put((due_s + delay_s, data))
        if not data:
            break
    sender.wait()


def _send(
    queue: eventlet.queue.Queue, sink: eventlet.greenio.GreenSocket
) -> None:
    is_open = True
    while True:
        due_s, data = queue.get()
        eventlet.sleep(max(0.0, due_s - time.monotonic()))
        try:
            if not data:
                sink.shutdown(1)
                return
            if is_open:
                sink.sendall(data)
        except OSError:
            if not data:
                return
            # The reader must still be able to empty its source.
            is_open = False
