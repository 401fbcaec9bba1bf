"""A TCP relay that simulates the delays and bandwidth of a network.

One process relays the connections of all entry instances to all targets. It
identifies an instance by the source address of the connection, and a target
by the port.
"""

import time
from dataclasses import dataclass

import eventlet

READ_BYTES = 65536
# Reads in transit in one direction of a connection. They hold more than the
# product of bandwidth and delay of a link, so that the delay does not limit
# the rate.
MAX_QUEUED_READS = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """The failure domain and region of an instance or target."""

    region: str
    failure_domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Network:
    """Delays and rates between locations.

    :ivar domain_delay_s: one-way delay between two failure domains of a
        region.
    :ivar region_delay_s: one-way delay between two regions.
    :ivar bytes_per_s: rate in each direction between two regions.
    """

    domain_delay_s: float
    region_delay_s: float
    bytes_per_s: float

    def delay_s(self, first: Location, second: Location) -> float:
        """Return the one-way delay between two locations."""
        if first.region != second.region:
            return self.region_delay_s
        if first.failure_domain != second.failure_domain:
            return self.domain_delay_s
        return 0.0


class SharedLink:
    """The link from one region to another, shared by all connections.

    Data is sent in the order in which it is scheduled.

    :ivar sent_bytes: number of bytes scheduled so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._idle_at_s = 0.0
        self.sent_bytes = 0

    def schedule_send(self, now_s: float, size_bytes: int) -> float:
        """Reserve the link for some bytes and return when it has sent them."""
        self._idle_at_s = max(self._idle_at_s, now_s)
        self._idle_at_s += size_bytes / self._bytes_per_s
        self.sent_bytes += size_bytes
        return self._idle_at_s


class DelayLink:
    """Relays connections between the locations of a network.

    :param instances: location of the instance at each source address.
    """

    def __init__(
        self, network: Network, instances: dict[str, Location]
    ) -> None:
        self._network = network
        self._instances = instances
        self._links: dict[tuple[str, str], SharedLink] = {}

    def link_between(self, source: str, target: str) -> SharedLink | None:
        """Return the link between two regions, None within a region."""
        if source == target:
            return None
        link = self._links.get((source, target))
        if link is None:
            link = SharedLink(self._network.bytes_per_s)
            self._links[source, target] = link
        return link

    def serve(
        self,
        listener: eventlet.greenio.GreenSocket,
        address: tuple[str, int],
        location: Location,
    ) -> None:
        """Relay connections to one target until the listener is closed.

        :param address: address of the target.
        :param location: location of the target.
        """
        while True:
            try:
                client, (source, _) = listener.accept()
            except OSError:
                return
            # Other sources, such as tests, count as local to the target.
            instance = self._instances.get(source, location)
            eventlet.spawn_n(self._relay, client, instance, address, location)

    def _relay(
        self,
        client: eventlet.greenio.GreenSocket,
        instance: Location,
        address: tuple[str, int],
        location: Location,
    ) -> None:
        delay_s = self._network.delay_s(instance, location)
        # The TCP handshake takes a round trip.
        eventlet.sleep(2 * delay_s)
        try:
            server = eventlet.connect(address)
        except OSError:
            client.close()
            return
        forward = self.link_between(instance.region, location.region)
        backward = self.link_between(location.region, instance.region)
        forward_thread = eventlet.spawn(
            _pump, client, server, delay_s, forward
        )
        backward_thread = eventlet.spawn(
            _pump, server, client, delay_s, backward
        )
        forward_thread.wait()
        backward_thread.wait()
        client.close()
        server.close()


def _pump(
    source: eventlet.greenio.GreenSocket,
    sink: eventlet.greenio.GreenSocket,
    delay_s: float,
    link: SharedLink | None,
) -> None:
    queue: eventlet.queue.Queue = eventlet.queue.Queue(MAX_QUEUED_READS)
    sender = eventlet.spawn(_send, queue, sink)
    while True:
        try:
            data = source.recv(READ_BYTES)
        except OSError:
            data = b""
        due_s = time.monotonic()
        if link is not None:
            due_s = link.schedule_send(due_s, len(data))
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
            # Discards further data, so that the reader can drain its
            # source.
            is_open = False
