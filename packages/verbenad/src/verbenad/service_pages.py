"""Liveness, readiness and metrics of an instance."""

from collections.abc import Callable, Iterable
from typing import Any

StartResponse = Callable[..., Any]


class ServicePages:
    """The pages ``/healthz``, ``/readyz`` and ``/metrics``.

    :param why_not_ready: reason why callers should not use the instance,
        None if they may.
    :param metrics: returns the metrics in text form.
    """

    def __init__(
        self,
        *,
        why_not_ready: Callable[[], str | None],
        metrics: Callable[[], bytes],
    ) -> None:
        self._why_not_ready = why_not_ready
        self._metrics = metrics

    def answer(
        self, path: str, start_response: StartResponse
    ) -> Iterable[bytes] | None:
        """Serve one page; None if the path is none of them."""
        match path:
            case "/healthz":
                return _text(start_response, "200 OK", b"alive\n")
            case "/readyz":
                reason = self._why_not_ready()
                if reason is None:
                    return _text(start_response, "200 OK", b"ready\n")
                status = "503 Service Unavailable"
                return _text(start_response, status, f"{reason}\n".encode())
            case "/metrics":
                return _text(start_response, "200 OK", self._metrics())
            case _:
                return None


def _text(
    start_response: StartResponse, status: str, body: bytes
) -> list[bytes]:
    start_response(
        status,
        [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]
