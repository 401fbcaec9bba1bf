"""HTTP pages for liveness, readiness and metrics of an instance."""

from collections.abc import Callable, Iterable
from typing import Any

StartResponse = Callable[..., Any]


class ServicePages:
    """The pages ``/healthz``, ``/readyz`` and ``/metrics``.

    :param not_ready_reason: returns the reason why callers should not use the
        instance, None if they may.
    :param metrics: returns the metrics in text form.
    """

    def __init__(
        self,
        *,
        not_ready_reason: Callable[[], str | None],
        metrics: Callable[[], bytes],
    ) -> None:
        self._not_ready_reason = not_ready_reason
        self._metrics = metrics

    def respond(
        self, path: str, start_response: StartResponse
    ) -> Iterable[bytes] | None:
        """Serve one page; return None if the path belongs to none."""
        match path:
            case "/healthz":
                return _text(start_response, "200 OK", b"alive\n")
            case "/readyz":
                reason = self._not_ready_reason()
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
