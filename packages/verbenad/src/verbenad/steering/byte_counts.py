"""Counts the bytes that cross failure domains and regions, and why."""

from verbenad.metrics import Metrics
from verbenad.steering.distance import distance
from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.instance_record import InstanceRecord

# The settings do not tell where the store is.
UNKNOWN_DISTANCE = "unknown"


class ByteCounts:
    """Bytes exchanged with backend servers, the store and relays.

    Headers of the network are not counted; :class:`PeerTraffic` counts the
    datagrams to other instances.

    :param local_instance: record of this instance.
    """

    def __init__(
        self, *, local_instance: InstanceRecord, metrics: Metrics
    ) -> None:
        self._local_instance = local_instance
        self._server_bytes = metrics.counter(
            "verbenad_server_bytes_total",
            "Bytes of requests to and responses of backend servers, by"
            " distance and reason of the choice.",
            ("direction", "distance", "choice"),
        )
        self._calls = metrics.counter(
            "verbenad_update_calls_total",
            "Calls to the store and to relays that got a response.",
            ("peer", "distance"),
        )
        self._call_bytes = metrics.counter(
            "verbenad_update_call_bytes_total",
            "Bytes of bodies of these calls.",
            ("direction", "peer", "distance"),
        )

    def record_attempt(
        self,
        server: BackendServer,
        choice: str,
        sent_bytes: int,
        received_bytes: int,
    ) -> None:
        """Count the bytes of one attempt at a backend server.

        :param choice: reason for the choice of the server.
        """
        where = distance(
            self._local_instance, server.region, server.failure_domain
        )
        self._server_bytes.add(("sent", where, choice), sent_bytes)
        self._server_bytes.add(("received", where, choice), received_bytes)

    def record_relay_call(
        self, relay: InstanceRecord, received_bytes: int
    ) -> None:
        """Count a call to a relay, which has no request body."""
        where = distance(
            self._local_instance, relay.region, relay.failure_domain
        )
        self._record_call("relay", where, 0, received_bytes)

    def record_store_call(self, sent_bytes: int, received_bytes: int) -> None:
        """Count a call to the store."""
        self._record_call(
            "store", UNKNOWN_DISTANCE, sent_bytes, received_bytes
        )

    def _record_call(
        self, peer: str, where: str, sent_bytes: int, received_bytes: int
    ) -> None:
        self._calls.add((peer, where))
        self._call_bytes.add(("sent", peer, where), sent_bytes)
        self._call_bytes.add(("received", peer, where), received_bytes)
