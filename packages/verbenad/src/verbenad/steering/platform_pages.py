"""The pages of an instance beside the requests: lookup, readiness, metrics."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import msgspec

StartResponse = Callable[..., Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class PageNames:
    """Paths and fields of the pages.

    :param host_parameter: query parameter with the host that a caller wants.
    :param region_parameter: query parameter with the caller's region.
    :param addresses: field of the answer with the instances' addresses.
    :param ttl_s: field with the time for which the answer may be kept.
    """

    lookup_path: str
    ready_path: str
    metrics_path: str
    host_parameter: str
    region_parameter: str
    addresses: str
    ttl_s: str


class PlatformPages:
    """A WSGI application.

    :param lookup: returns addresses for a host and a region; none while the
        instance knows no configuration.
    :param lookup_ttl_s: how long callers may keep an answer.
    :param why_not_ready: reason why callers should not use the instance.
    :param metrics: returns the metrics in text form.
    """

    def __init__(
        self,
        *,
        names: PageNames,
        lookup: Callable[[str, str], list[str] | None],
        lookup_ttl_s: float,
        why_not_ready: Callable[[], str | None],
        metrics: Callable[[], bytes],
    ) -> None:
        self._names = names
        self._lookup = lookup
        self._lookup_ttl_s = lookup_ttl_s
        self._why_not_ready = why_not_ready
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one page."""
        names = self._names
        path = environ["RAW_PATH_INFO"]
        if path == names.ready_path:
            reason = self._why_not_ready()
            if reason is None:
                return _text(start_response, "200 OK", b"ready\n")
            return _unavailable(start_response, reason)
        if path == names.lookup_path:
            return self._answer_lookup(environ["QUERY_STRING"], start_response)
        if path == names.metrics_path:
            return _text(start_response, "200 OK", self._metrics())
        return _text(start_response, "404 Not Found", b"no such page\n")

    def _answer_lookup(
        self, query: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        fields = parse_qs(query)
        host = fields.get(self._names.host_parameter, [""])[0]
        region = fields.get(self._names.region_parameter, [""])[0]
        addresses = self._lookup(host, region)
        if not addresses:
            return _unavailable(start_response, "no instance is known yet")
        body = msgspec.json.encode(
            {
                self._names.addresses: addresses,
                self._names.ttl_s: self._lookup_ttl_s,
            }
        )
        start_response("200 OK", [("Content-Type", "application/json")])
        return [body]


def _unavailable(
    start_response: StartResponse, reason: str
) -> Iterable[bytes]:
    body = f"{reason}\n".encode()
    return _text(start_response, "503 Service Unavailable", body)


def _text(
    start_response: StartResponse, status: str, body: bytes
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", "text/plain; charset=utf-8")])
    return [body]
