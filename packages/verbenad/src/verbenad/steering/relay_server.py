"""Passes the store's news on to instances that do not watch the store."""

import zlib
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

from verbenad.steering.relay_messages import RelayedNews
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.item_log import ItemLog
from verbenaworks.wire import encode

NEWS_PATH = "/news"
# Longest time that an instance may ask to be kept waiting.
MAX_WAIT_MS = 5000
# A proof that is older than this is not told exactly.
MAX_AGE_MS = 3_600_000
# An outage of the store is told for this long after its end.
BACK_TOLD_MS = 10_000

StartResponse = Callable[..., Any]


class RelayServer:
    """A WSGI application that answers with what has changed.

    :param log: the items as this instance knows them.
    :param confirmation: age of the proof that they are the newest.
    """

    def __init__(
        self,
        *,
        log: ItemLog,
        confirmation: ConfigFreshness,
        now_s: Callable[[], float],
    ) -> None:
        self._log = log
        self._confirmation = confirmation
        self._now_s = now_s
        self._changed = Event()
        self._back_at_s: float | None = None

    def publish(self) -> None:
        """Wake those who wait for news."""
        changed, self._changed = self._changed, Event()
        changed.send(None)

    def store_returned(self, at_s: float) -> None:
        """Enter that the store answers again after an outage."""
        self._back_at_s = at_s

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request for news."""
        arrived_s = self._now_s()
        query = parse_qs(environ["QUERY_STRING"])
        try:
            after = int(query["after"][0])
            wait_ms = min(MAX_WAIT_MS, int(query["wait_ms"][0]))
        except (KeyError, ValueError):
            return _refuse(start_response, "400 Bad Request", b"bad query\n")
        if environ["RAW_PATH_INFO"] != NEWS_PATH:
            return _refuse(start_response, "404 Not Found", b"no such page\n")
        if self._log.revision is None:
            return _refuse(
                start_response, "503 Service Unavailable", b"no news yet\n"
            )
        self._wait(after, wait_ms / 1000)
        data = zlib.compress(encode(self._news(after, arrived_s)), 1)
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/octet-stream"),
                ("Content-Length", str(len(data))),
            ],
        )
        return [data]

    def _wait(self, after: int, wait_s: float) -> None:
        end_s = self._now_s() + wait_s
        while (self._log.revision or 0) <= after:
            left_s = end_s - self._now_s()
            if left_s <= 0:
                return
            with eventlet.Timeout(left_s, False):
                self._changed.wait()

    def _news(self, after: int, arrived_s: float) -> RelayedNews:
        batch = self._log.changes_since(after)
        now_s = self._now_s()
        back_age_ms = None
        if self._back_at_s is not None:
            age_ms = int((now_s - self._back_at_s) * 1000)
            back_age_ms = age_ms if age_ms <= BACK_TOLD_MS else None
        age_s = min(self._confirmation.age_s(now_s), MAX_AGE_MS / 1000)
        return RelayedNews(
            items=batch.items,
            revision=batch.revision,
            complete=batch.complete,
            # Rounded so that no proof looks younger than it is.
            proof_age_ms=int(age_s * 1000) + 1,
            held_ms=int((now_s - arrived_s) * 1000),
            back_age_ms=back_age_ms,
        )


def _refuse(
    start_response: StartResponse, status: str, body: bytes
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", "text/plain")])
    return [body]
