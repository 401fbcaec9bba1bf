"""An answer that can be passed on whole, or while it arrives."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from verbenad.http_syntax import Headers
from verbenad.upstream_response import UpstreamResponse

# Answers up to this size are received whole before the caller gets a byte:
# one that breaks off can then be repeated or shown as a failure.
HOLD_BYTES = 65536


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldAnswer:
    """Status, fields and body of an answer.

    :ivar pieces: the whole body, or an iterator over a long one.
    """

    status: int
    status_line: str
    headers: Headers
    pieces: Iterable[bytes]


def hold_answer(answer: UpstreamResponse) -> HeldAnswer:
    """Receive the body if it is short.

    :raises ResponseTruncatedError: if a short body breaks off.
    """
    held: list[bytes] = []
    held_bytes = 0
    complete = False
    while held_bytes <= HOLD_BYTES:
        piece = answer.body.read_some()
        if not piece:
            complete = True
            break
        held.append(piece)
        held_bytes += len(piece)
    pieces: Iterable[bytes] = _Rest(held, answer)
    if complete:
        pieces = [b"".join(held)]
    return HeldAnswer(
        status=answer.status,
        status_line=answer.status_line,
        headers=answer.headers,
        pieces=pieces,
    )


class _Rest:
    """The held pieces and then the rest of the body."""

    def __init__(self, held: list[bytes], answer: UpstreamResponse) -> None:
        self._held = held
        self._answer = answer

    def __iter__(self) -> Iterator[bytes]:
        yield from self._held
        self._held = []
        while piece := self._answer.body.read_some():
            yield piece

    def close(self) -> None:
        self._answer.body.close()
