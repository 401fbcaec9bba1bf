"""Usual sizes of the bodies of each service, by direction."""

# Until the first body is known: one token of a link.
START_BYTES = 16384
_GAIN = 0.05


class BodySizes:
    """Moving averages over the bodies that this instance passed on."""

    def __init__(self) -> None:
        self._requests: dict[str, float] = {}
        self._answers: dict[str, float] = {}

    def request_bytes(self, service: str) -> int:
        """Return the usual size of a request's body."""
        return int(self._requests.get(service, START_BYTES))

    def answer_bytes(self, service: str) -> int:
        """Return the usual size of an answer's body."""
        return int(self._answers.get(service, START_BYTES))

    def record(
        self, service: str, request_bytes: int | None, answer_bytes: int | None
    ) -> None:
        """Record the sizes of one request; ``None`` where not known."""
        _average(self._requests, service, request_bytes)
        _average(self._answers, service, answer_bytes)


def _average(
    sizes: dict[str, float], service: str, size_bytes: int | None
) -> None:
    if size_bytes is None:
        return
    known = sizes.get(service, START_BYTES)
    sizes[service] = known + _GAIN * (size_bytes - known)
