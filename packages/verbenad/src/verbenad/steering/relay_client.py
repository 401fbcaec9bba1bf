"""Reads updates of the store from a relay."""

import zlib
from collections.abc import Callable

import urllib3
from urllib3.exceptions import HTTPError

from verbenad.bounded_fetch import FetchTimeouts, decompress, fetch
from verbenad.steering.platform_client import RelayUnavailableError
from verbenad.steering.relay_messages import RelayedNews
from verbenad.steering.relay_server import CONFIG_PATH, UPDATES_PATH
from verbenad.steering.store_update import StoreUpdate
from verbenad.upstream_connection import keepalive_options
from verbenaworks.errors import WireError
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.store_item import ItemBatch, StorePosition
from verbenaworks.wire import decode

CONNECT_TIMEOUT_S = 0.3
# Added to the requested wait: a round trip between regions and one turn of the
# relay's event loop.
RESPONSE_MARGIN_S = 0.4
# A document may be large and the link between regions slow.
CONFIG_TIMEOUT_S = 1.5
# A connection on which the relay acknowledges nothing for this long is dead.
PEER_TIMEOUT_S = 1.5


class RelayClient:
    """A connection to one relay.

    :param relay: record of the instance that is the relay.
    :param on_call: called with the relay and the bytes of each response.
    """

    def __init__(
        self,
        relay: InstanceRecord,
        now_s: Callable[[], float],
        on_call: Callable[[InstanceRecord, int], None] | None = None,
    ) -> None:
        self.relay = relay
        self._on_call = on_call
        self._now_s = now_s
        host, _, port = relay.peer_address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=1,
            retries=False,
            socket_options=[
                *urllib3.connection.HTTPConnection.default_socket_options,
                *keepalive_options(PEER_TIMEOUT_S),
            ],
        )

    def read(self, position: StorePosition, wait_s: float) -> StoreUpdate:
        """Return the changes after a position.

        :param wait_s: how long the relay waits for the first change.
        :raises RelayUnavailableError: if the relay gives no valid response.
        """
        started_s = self._now_s()
        url = (
            f"{UPDATES_PATH}?era={position.era}&after={position.revision}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        data = self._get(url, wait_s + RESPONSE_MARGIN_S)
        return self._decode_update(data, started_s)

    def read_config(self) -> bytes:
        """Return the operator's document that is in force at the relay.

        :raises RelayUnavailableError: if the relay gives no valid response.
        """
        data = self._get(CONFIG_PATH, CONFIG_TIMEOUT_S)
        try:
            return decompress(data)
        except zlib.error as error:
            raise RelayUnavailableError(
                f"relay {self.relay.name} sent an unreadable document: {error}"
            ) from error

    def _get(self, url: str, timeout_s: float) -> bytes:
        try:
            response = fetch(
                self._pool,
                "GET",
                url,
                timeouts=FetchTimeouts(
                    connect_s=CONNECT_TIMEOUT_S, response_s=timeout_s
                ),
            )
        except (HTTPError, OSError) as error:
            raise RelayUnavailableError(
                f"relay {self.relay.name} failed: {error}"
            ) from error
        if self._on_call is not None:
            self._on_call(self.relay, len(response.data))
        if response.status != 200:
            raise RelayUnavailableError(
                f"relay {self.relay.name} returned status {response.status}"
            )
        return response.data

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _decode_update(self, data: bytes, started_s: float) -> StoreUpdate:
        try:
            message = decode(decompress(data))
        except (WireError, zlib.error) as error:
            raise RelayUnavailableError(
                f"relay {self.relay.name} sent an unreadable update: {error}"
            ) from error
        if not isinstance(message, RelayedNews):
            raise RelayUnavailableError(
                f"relay {self.relay.name} sent an unexpected message type"
            )
        # The relay held the request for this long, so it sent the response no
        # earlier than this. Ages count from here, so that a confirmation never
        # looks younger than it is.
        sent_at_s = started_s + message.held_ms / 1000
        store_recovered_at_s = None
        if message.back_age_ms is not None:
            store_recovered_at_s = sent_at_s - message.back_age_ms / 1000
        return StoreUpdate(
            batch=ItemBatch(
                items=message.items,
                revision=message.revision,
                complete=message.complete,
                era=message.era,
            ),
            confirmed_at_s=sent_at_s - message.proof_age_ms / 1000,
            store_recovered_at_s=store_recovered_at_s,
        )
