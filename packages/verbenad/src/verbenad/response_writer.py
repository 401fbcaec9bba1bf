"""Writes one response to a caller."""

import math
import time
from collections.abc import Callable, Iterable
from enum import Enum
from types import TracebackType

from eventlet.wsgi import format_date_time

from verbenad.caller_output import ResponseSlot
from verbenad.refusal import Refusal

_ExcInfo = tuple[type[BaseException], BaseException, TracebackType | None]
# Set by the writer; values from the application are ignored.
_WRITER_FIELDS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "upgrade"}
)
_date_cache: tuple[int, str] = (0, "")


class ResponseError(Exception):
    """The application violated the WSGI response protocol."""


class Framing(Enum):
    """How the end of the response body is indicated."""

    NONE = "no body"
    SIZED = "stated length"
    CHUNKED = "chunked coding"
    CLOSE = "end of connection"


def _date() -> str:
    global _date_cache
    now_s = int(time.time())
    if _date_cache[0] != now_s:
        _date_cache = (now_s, format_date_time(now_s))
    return _date_cache[1]


class ResponseWriter:
    """Sends one response with its message framing.

    The end of the body is written only after the last piece of the result. A
    response that fails earlier stays recognizably incomplete.

    :param slot: place of the response on the caller's connection.
    :param method: method of the request.
    :param version: version of the request.
    :param timeout_s: longest wait until the caller accepts more bytes.
    :param min_bytes_per_s: minimum rate at which the caller receives data.
    :param decide_close: called when the head is written; returns whether
        the connection closes after this response.
    """

    __slots__ = (
        "_decide_close",
        "_headers",
        "_remaining_bytes",
        "_slot",
        "_status",
        "_time_left_s",
        "_timeout_s",
        "_method",
        "_min_bytes_per_s",
        "_version",
        "close",
        "finished",
        "framing",
        "head_sent",
    )

    def __init__(
        self,
        slot: ResponseSlot,
        *,
        method: str,
        version: tuple[int, int],
        timeout_s: float,
        min_bytes_per_s: int,
        decide_close: Callable[[], bool],
    ) -> None:
        self._slot = slot
        self._method = method
        self._version = version
        self._timeout_s = timeout_s
        self._min_bytes_per_s = min_bytes_per_s
        self._decide_close = decide_close
        self._status = ""
        self._headers: list[tuple[str, str]] = []
        self._remaining_bytes = 0
        self._time_left_s: Callable[[], float] | None = None
        self.framing = Framing.NONE
        self.close = False
        self.head_sent = False
        self.finished = False

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: _ExcInfo | None = None,
    ) -> Callable[[bytes], None]:
        """Set status and headers; the WSGI callable.

        :raises ResponseError: if the head was sent already.
        """
        if self.head_sent:
            if exc_info:
                raise exc_info[1].with_traceback(exc_info[2])
            raise ResponseError(
                "start_response was called after the head was sent"
            )
        if self._status and not exc_info:
            raise ResponseError("start_response was called twice")
        self._status = status
        self._headers = headers
        return self.write

    def write(self, data: bytes) -> None:
        """Send ``data``; an empty piece sends the head alone."""
        if not self.head_sent:
            head = self._build_head(None)
            self._send(head + self._frame(data))
        elif data:
            self._send(self._frame(data))

    def write_result(self, result: Iterable[bytes]) -> None:
        """Send the pieces of a WSGI result and finish.

        A result may have a method ``time_left_s``. It returns the time within
        which the next piece must be sent, whatever the caller's rate is.

        :raises ResponseError: if the body does not match its stated length.
        """
        if isinstance(result, list | tuple) and not self.head_sent:
            body = result[0] if len(result) == 1 else b"".join(result)
            head = self._build_head(len(body))
            self._send(head + self._frame(body) + self._end())
            self.finished = True
            return
        self._time_left_s = getattr(result, "time_left_s", None)
        for piece in result:
            self.write(piece)
        self.finish()

    def finish(self) -> None:
        """Write the end of the body."""
        head = b"" if self.head_sent else self._build_head(0)
        end = self._end()
        if head or end:
            self._send(head + end)
        self.finished = True

    def send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal as the whole response."""
        body = refusal.body()
        self._status = refusal.status_line
        self._headers = refusal.headers(body)
        self.write_result([body])

    def _send(self, data: bytes) -> None:
        if not data:
            return
        # The limits count from the turn of this response.
        self._slot.wait_for_turn()
        self._slot.send_all(data, *self._send_limits(len(data)))

    def _send_limits(self, size_bytes: int) -> tuple[float, int | None]:
        """Return the timeout and the minimum rate of a write."""
        timeout_s, min_bytes_per_s = self._timeout_s, self._min_bytes_per_s
        if self._time_left_s is None:
            return timeout_s, min_bytes_per_s
        left_s = self._time_left_s()
        if left_s <= timeout_s:
            # Without a rate, the timeout applies to all bytes.
            return left_s, None
        rate = math.ceil(size_bytes / (left_s - timeout_s))
        return timeout_s, max(min_bytes_per_s, rate)

    def _build_head(self, body_bytes: int | None) -> bytes:
        if not self._status:
            raise ResponseError("the response has no status")
        code = int(self._status[:3])
        lines = [f"HTTP/1.1 {self._status}"]
        length: str | None = None
        has_date = False
        for name, value in self._headers:
            key = name.lower()
            if key in _WRITER_FIELDS:
                continue
            if key == "content-length":
                length = value
                continue
            has_date = has_date or key == "date"
            lines.append(f"{name}: {value}")
        if not has_date:
            lines.append(f"Date: {_date()}")
        self._choose_framing(code, length, body_bytes, lines)
        if self._decide_close() or self.framing is Framing.CLOSE:
            self.close = True
            lines.append("Connection: close")
        text = "\r\n".join(lines)
        line_break_count = len(lines) - 1
        if (
            text.count("\n") != line_break_count
            or text.count("\r") != line_break_count
            or "\0" in text
        ):
            raise ResponseError("a response header has a line break")
        self.head_sent = True
        return text.encode("latin-1") + b"\r\n\r\n"

    def _choose_framing(
        self,
        code: int,
        length: str | None,
        body_bytes: int | None,
        lines: list[str],
    ) -> None:
        if code == 204 or code < 200:
            self.framing = Framing.NONE
            return
        # The empty body of a HEAD response does not tell the Content-Length
        # of the GET response.
        if length is None and code != 304 and self._method != "HEAD":
            length = None if body_bytes is None else str(body_bytes)
        if length is not None:
            lines.append(f"Content-Length: {length}")
        if code == 304 or self._method == "HEAD":
            self.framing = Framing.NONE
        elif length is not None:
            self.framing = Framing.SIZED
            self._remaining_bytes = int(length)
        elif self._version >= (1, 1):
            self.framing = Framing.CHUNKED
            lines.append("Transfer-Encoding: chunked")
        else:
            self.framing = Framing.CLOSE

    def _frame(self, data: bytes) -> bytes:
        if not data:
            return b""
        framing = self.framing
        if framing is Framing.SIZED:
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                raise ResponseError(
                    "the body is longer than its Content-Length"
                )
            return data
        if framing is Framing.CHUNKED:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data if framing is Framing.CLOSE else b""

    def _end(self) -> bytes:
        if self._remaining_bytes:
            raise ResponseError("the body is shorter than its Content-Length")
        return b"0\r\n\r\n" if self.framing is Framing.CHUNKED else b""
