"""Counts the datagrams that an instance sends to the others."""

from verbenad.metrics import Metrics
from verbenad.steering.distance import distance
from verbenaworks.steering.instance_record import InstanceRecord

# Headers of IP and UDP.
DATAGRAM_HEADER_BYTES = 28


class PeerTraffic:
    """Datagrams and bytes by type of message and by distance.

    :param local_instance: record of the sending instance.
    """

    def __init__(
        self, *, local_instance: InstanceRecord, metrics: Metrics
    ) -> None:
        self._local_instance = local_instance
        self._datagrams = metrics.counter(
            "verbenad_peer_datagrams_total",
            "Datagrams to other instances by type and distance.",
            ("type", "distance"),
        )
        self._bytes = metrics.counter(
            "verbenad_peer_bytes_total",
            "Bytes of datagrams to other instances by type and distance.",
            ("type", "distance"),
        )

    def record(
        self, message_type: str, peer: InstanceRecord, size_bytes: int
    ) -> None:
        """Count a datagram.

        :param size_bytes: size without the headers of the network.
        """
        where = distance(
            self._local_instance, peer.region, peer.failure_domain
        )
        labels = (message_type, where)
        self._datagrams.add(labels)
        self._bytes.add(labels, size_bytes + DATAGRAM_HEADER_BYTES)
