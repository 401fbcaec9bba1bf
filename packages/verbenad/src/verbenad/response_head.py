"""Head of a backend server's response and its strict parser.

The parser of the standard library accepts bare line feeds, signed chunk
sizes and repeated lengths, and takes more time than the rest of an attempt.
"""

import re
from dataclasses import dataclass

from verbenad.http_syntax import (
    Headers,
    list_tokens,
    parse_header_lines,
    parse_length,
)
from verbenad.protocol_errors import MalformedResponseError, ProtocolError
from verbenad.request_head import HeadLimits

_STATUS_LINE = re.compile(
    r"HTTP/1\.([01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?"
)
_FRAMING_FIELDS = frozenset(
    {"content-length", "transfer-encoding", "connection"}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The parsed head of a response.

    :param length: length of the body; None if the body is chunked or ends
        with the connection.
    :param chunked: whether the body is in chunked coding.
    :param connection_fields: lower-case names in the Connection header.
    :param keep_alive: whether the connection can carry another request.
    """

    status: int
    reason: str
    headers: Headers
    length: int | None
    chunked: bool
    connection_fields: frozenset[str]
    keep_alive: bool

    @property
    def is_self_delimiting(self) -> bool:
        """Return whether the end of the body is marked in the message.

        Otherwise, the body ends when the connection is closed.
        """
        return self.chunked or self.length is not None


def parse_response_head(
    block: bytes, method: str, limits: HeadLimits
) -> ResponseHead:
    """Parse a head; ``block`` ends with the empty line.

    :param method: method of the request.
    :raises MalformedResponseError: if the head violates RFC 9112 or a limit.
    """
    line, _, rest = block.decode("latin-1").partition("\r\n")
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise MalformedResponseError("the response has no valid status line")
    minor, code, reason = match.groups()
    status = int(code)
    try:
        headers = parse_header_lines(rest[:-2])
        if len(headers) > limits.header_count:
            raise MalformedResponseError("the response has too many headers")
        return _parse_framing(status, reason or "", minor, headers, method)
    except ProtocolError as error:
        if isinstance(error, MalformedResponseError):
            raise
        raise MalformedResponseError(
            f"in the backend server's response: {error.message}"
        ) from error


def _parse_framing(
    status: int, reason: str, minor: str, headers: Headers, method: str
) -> ResponseHead:
    framing_fields: dict[str, list[str]] = {}
    for name, value in headers:
        key = name.lower()
        if key in _FRAMING_FIELDS:
            framing_fields.setdefault(key, []).append(value)
    lengths = framing_fields.get("content-length", [])
    transfer_codings = framing_fields.get("transfer-encoding", [])
    length = parse_length(lengths)
    if transfer_codings:
        if lengths:
            raise ProtocolError("ambiguous-length")
        if (
            transfer_codings[0].lower() != "chunked"
            or len(transfer_codings) > 1
        ):
            raise ProtocolError("unknown-transfer-coding")
        if minor == "0":
            raise ProtocolError("unknown-transfer-coding")
    chunked = bool(transfer_codings)
    if method == "HEAD" or status in (204, 304) or status < 200:
        length, chunked = 0, False
    fields = list_tokens(framing_fields.get("connection", []))
    return ResponseHead(
        status=status,
        reason=reason,
        headers=headers,
        length=length,
        chunked=chunked,
        connection_fields=fields,
        keep_alive=minor == "1" and "close" not in fields,
    )
