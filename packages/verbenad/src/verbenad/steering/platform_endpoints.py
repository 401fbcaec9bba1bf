"""Endpoints of an instance itself: lookup, readiness and metrics."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import msgspec

StartResponse = Callable[..., Any]

EXPLAIN_PATH = "/explain"


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointNames:
    """Paths, query parameters and JSON fields of the endpoints.

    :param host_parameter: query parameter with the host to look up.
    :param region_parameter: query parameter with the caller's region.
    :param addresses: field of the response with the instances' addresses.
    :param ttl_s: field with the time for which callers may cache the response.
    """

    lookup_path: str
    ready_path: str
    metrics_path: str
    host_parameter: str
    region_parameter: str
    addresses: str
    ttl_s: str


class PlatformEndpoints:
    """A WSGI application for the endpoints.

    :param lookup: returns the addresses for a host and a region; None while
        the instance has no configuration.
    :param lookup_ttl_s: how long callers may cache a lookup response.
    :param not_ready_reason: returns why callers should not use the instance,
        or None if it is ready.
    :param metrics: returns the metrics in text form.
    :param explain: returns the status and the body of an explanation for the
        fields of a query; None to serve no explanations.
    """

    def __init__(
        self,
        *,
        names: EndpointNames,
        lookup: Callable[[str, str], list[str] | None],
        lookup_ttl_s: float,
        not_ready_reason: Callable[[], str | None],
        metrics: Callable[[], bytes],
        explain: Callable[[dict[str, str]], tuple[str, bytes]] | None = None,
    ) -> None:
        self._names = names
        self._lookup = lookup
        self._lookup_ttl_s = lookup_ttl_s
        self._not_ready_reason = not_ready_reason
        self._metrics = metrics
        self._explain = explain

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        names = self._names
        path = environ["RAW_PATH_INFO"]
        if path == names.ready_path:
            reason = self._not_ready_reason()
            if reason is None:
                return _respond_text(start_response, "200 OK", b"ready\n")
            return _respond_unavailable(start_response, reason)
        if path == names.lookup_path:
            return self._respond_to_lookup(
                environ["QUERY_STRING"], start_response
            )
        if path == names.metrics_path:
            return _respond_text(start_response, "200 OK", self._metrics())
        if path == EXPLAIN_PATH and self._explain is not None:
            status, body = self._explain(
                _first_values(environ["QUERY_STRING"])
            )
            start_response(status, [("Content-Type", "application/json")])
            return [body]
        return _respond_text(
            start_response, "404 Not Found", b"no such page\n"
        )

    def _respond_to_lookup(
        self, query: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        fields = parse_qs(query)
        host = fields.get(self._names.host_parameter, [""])[0]
        region = fields.get(self._names.region_parameter, [""])[0]
        addresses = self._lookup(host, region)
        if not addresses:
            return _respond_unavailable(
                start_response, "no instance is known yet"
            )
        body = msgspec.json.encode(
            {
                self._names.addresses: addresses,
                self._names.ttl_s: self._lookup_ttl_s,
            }
        )
        start_response("200 OK", [("Content-Type", "application/json")])
        return [body]


def _first_values(query: str) -> dict[str, str]:
    return {
        name: values[0]
        for name, values in parse_qs(query, keep_blank_values=True).items()
    }


def _respond_unavailable(
    start_response: StartResponse, reason: str
) -> Iterable[bytes]:
    body = f"{reason}\n".encode()
    return _respond_text(start_response, "503 Service Unavailable", body)


def _respond_text(
    start_response: StartResponse, status: str, body: bytes
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", "text/plain; charset=utf-8")])
    return [body]
