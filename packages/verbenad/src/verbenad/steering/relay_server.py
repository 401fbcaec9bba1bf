"""Passes updates of the store on to instances that do not watch it."""

import zlib
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

from verbenad.steering.relay_messages import RelayedNews
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.item_log import ItemLog
from verbenaworks.steering.store_item import StorePosition
from verbenaworks.wire import encode

UPDATES_PATH = "/news"
CONFIG_PATH = "/config"
# Longest time for which an instance may ask the relay to wait for a change.
MAX_WAIT_MS = 5000
# An older confirmation is reported with this age.
MAX_REPORTED_AGE_MS = 3_600_000
# A recovery of the store is reported for this long.
MAX_RECOVERY_AGE_MS = 10_000

StartResponse = Callable[..., Any]


class RelayServer:
    """A WSGI application that responds with changed items.

    :param item_log: the items as this instance knows them.
    :param freshness: age of the last confirmation that they are current.
    :param document: returns the operator's document in force; empty if there
        is none.
    """

    def __init__(
        self,
        *,
        item_log: ItemLog,
        freshness: ConfigFreshness,
        document: Callable[[], bytes],
        now_s: Callable[[], float],
    ) -> None:
        self._item_log = item_log
        self._freshness = freshness
        self._document = document
        self._now_s = now_s
        self._change_event = Event()
        self._store_recovered_at_s: float | None = None

    def notify_waiters(self) -> None:
        """Wake the requests that wait for a change."""
        change_event, self._change_event = self._change_event, Event()
        change_event.send(None)

    def record_store_recovery(self, at_s: float) -> None:
        """Record that the store is available again after an outage."""
        self._store_recovered_at_s = at_s

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one request for changes or for the configuration."""
        received_at_s = self._now_s()
        if environ["RAW_PATH_INFO"] == CONFIG_PATH:
            return _respond(start_response, zlib.compress(self._document(), 1))
        query = parse_qs(environ["QUERY_STRING"])
        try:
            after = StorePosition(
                era=int(query["era"][0]), revision=int(query["after"][0])
            )
            wait_ms = min(MAX_WAIT_MS, int(query["wait_ms"][0]))
        except (KeyError, ValueError):
            return _respond_error(
                start_response, "400 Bad Request", b"bad query\n"
            )
        if environ["RAW_PATH_INFO"] != UPDATES_PATH:
            return _respond_error(
                start_response, "404 Not Found", b"no such page\n"
            )
        self._wait(after, wait_ms / 1000)
        position = self._item_log.position
        if position is None or position.era < after.era:
            return _respond_error(
                start_response,
                "503 Service Unavailable",
                b"no news of this era yet\n",
            )
        data = zlib.compress(
            encode(self._make_update(after, received_at_s)), 1
        )
        return _respond(start_response, data)

    def _wait(self, after: StorePosition, wait_s: float) -> None:
        end_s = self._now_s() + wait_s
        while (position := self._item_log.position) and position <= after:
            if position.era < after.era:
                return
            left_s = end_s - self._now_s()
            if left_s <= 0:
                return
            with eventlet.Timeout(left_s, False):
                self._change_event.wait()

    def _make_update(
        self, after: StorePosition, received_at_s: float
    ) -> RelayedNews:
        batch = self._item_log.changes_since(after)
        now_s = self._now_s()
        back_age_ms = None
        if self._store_recovered_at_s is not None:
            age_ms = int((now_s - self._store_recovered_at_s) * 1000)
            back_age_ms = age_ms if age_ms <= MAX_RECOVERY_AGE_MS else None
        age_s = min(self._freshness.age_s(now_s), MAX_REPORTED_AGE_MS / 1000)
        return RelayedNews(
            items=batch.items,
            revision=batch.revision,
            complete=batch.complete,
            # Rounded up, so that no confirmation looks younger than it is.
            proof_age_ms=int(age_s * 1000) + 1,
            held_ms=int((now_s - received_at_s) * 1000),
            back_age_ms=back_age_ms,
            era=batch.era,
        )


def _respond(start_response: StartResponse, data: bytes) -> Iterable[bytes]:
    start_response(
        "200 OK",
        [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]


def _respond_error(
    start_response: StartResponse, status: str, body: bytes
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", "text/plain")])
    return [body]
