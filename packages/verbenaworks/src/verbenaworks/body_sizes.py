"""Usual sizes of the request and response bodies of each service."""

# Assumed until the first body is known; one token of a link.
INITIAL_BODY_BYTES = 16384
_SMOOTHING_FACTOR = 0.05


class BodySizes:
    """Moving averages over the bodies that this instance forwarded."""

    def __init__(self) -> None:
        self._requests: dict[str, float] = {}
        self._answers: dict[str, float] = {}

    def request_bytes(self, service: str) -> int:
        """Return the usual size of a request's body."""
        return int(self._requests.get(service, INITIAL_BODY_BYTES))

    def answer_bytes(self, service: str) -> int:
        """Return the usual size of a response's body."""
        return int(self._answers.get(service, INITIAL_BODY_BYTES))

    def record(
        self, service: str, request_bytes: int | None, answer_bytes: int | None
    ) -> None:
        """Record the body sizes of one request; ``None`` if unknown."""
        _update_average(self._requests, service, request_bytes)
        _update_average(self._answers, service, answer_bytes)


def _update_average(
    sizes: dict[str, float], service: str, size_bytes: int | None
) -> None:
    if size_bytes is None:
        return
    average = sizes.get(service, INITIAL_BODY_BYTES)
    sizes[service] = average + _SMOOTHING_FACTOR * (size_bytes - average)
