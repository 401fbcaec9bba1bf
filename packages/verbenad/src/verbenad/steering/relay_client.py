"""Asks another instance for the store's news."""

import zlib
from collections.abc import Callable

import urllib3
from urllib3.exceptions import HTTPError

from verbenad.steering.news import News
from verbenad.steering.platform_port import RelayUnavailableError
from verbenad.steering.relay_messages import RelayedNews
from verbenad.steering.relay_server import NEWS_PATH
from verbenad.upstream_connection import keepalive_options
from verbenaworks.errors import WireError
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.store_item import ItemBatch
from verbenaworks.wire import decode

CONNECT_S = 0.3
# An answer takes a round trip between regions and a turn of the relay's loop.
ANSWER_S = 0.4
# A connection on which nothing is acknowledged for this long is lost.
SILENT_S = 1.5


class RelayClient:
    """A connection to one relay.

    :param relay: the instance that is asked.
    """

    def __init__(
        self, relay: InstanceRecord, now_s: Callable[[], float]
    ) -> None:
        self.relay = relay
        self._now_s = now_s
        host, _, port = relay.peer_address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=1,
            retries=False,
            socket_options=[
                *urllib3.connection.HTTPConnection.default_socket_options,
                *keepalive_options(SILENT_S),
            ],
        )

    def read(self, revision: int, wait_s: float) -> News:
        """Return the changes after a revision, waiting for the first.

        :raises RelayUnavailableError: if there is no answer.
        """
        started_s = self._now_s()
        url = f"{NEWS_PATH}?after={revision}&wait_ms={int(wait_s * 1000)}"
        try:
            answer = self._pool.urlopen(
                "GET",
                url,
                timeout=urllib3.Timeout(
                    connect=CONNECT_S, read=wait_s + ANSWER_S
                ),
            )
            data = answer.data
        except (HTTPError, OSError) as error:
            raise RelayUnavailableError(
                f"relay {self.relay.name} failed: {error}"
            ) from error
        if answer.status != 200:
            raise RelayUnavailableError(
                f"relay {self.relay.name} answered {answer.status}"
            )
        return self._news(data, started_s)

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _news(self, data: bytes, started_s: float) -> News:
        try:
            told = decode(zlib.decompress(data))
        except (WireError, zlib.error) as error:
            raise RelayUnavailableError(
                f"relay {self.relay.name} sent what cannot be read: {error}"
            ) from error
        if not isinstance(told, RelayedNews):
            raise RelayUnavailableError(
                f"relay {self.relay.name} sent another message"
            )
        # The answer was sent this much after the request at least.
        sent_s = started_s + told.held_ms / 1000
        back_at_s = None
        if told.back_age_ms is not None:
            back_at_s = sent_s - told.back_age_ms / 1000
        return News(
            batch=ItemBatch(
                items=told.items,
                revision=told.revision,
                complete=told.complete,
            ),
            proved_s=sent_s - told.proof_age_ms / 1000,
            back_at_s=back_at_s,
        )
