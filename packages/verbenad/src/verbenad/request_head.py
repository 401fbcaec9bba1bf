"""The head of a caller's request and its strict parser."""

import re
from dataclasses import dataclass

from verbenad.http_syntax import (
    TOKEN,
    Headers,
    list_tokens,
    parse_header_lines,
    parse_length,
    values_of,
)
from verbenad.protocol_errors import ProtocolError

# Besides what RFC 3986 allows, this accepts the characters that browsers leave
# unescaped in queries. They do not affect the framing.
_PATH_QUERY = r"/(?:[!$&-;=?-\[\]^-~]|%[0-9A-Fa-f]{2})*+"
_AUTHORITY = (
    r"(?:[A-Za-z0-9.\-_~!$&'()*+,;=]|%[0-9A-Fa-f]{2})++"
    r"(?::[0-9]{0,5})?|\[[0-9A-Fa-f:.]{2,45}\](?::[0-9]{0,5})?"
)
_REQUEST_LINE = re.compile(
    rf"({TOKEN}{{1,32}}) ([^\x00-\x20\x7f-\xff]++) HTTP/([0-9])\.([0-9])"
)
_ORIGIN_FORM = re.compile(_PATH_QUERY)
_ABSOLUTE_FORM = re.compile(
    rf"https?://({_AUTHORITY})((?:{_PATH_QUERY})|(?:\?[^#]*)|)",
    re.IGNORECASE,
)
_HOST = re.compile(_AUTHORITY)


@dataclass(frozen=True, kw_only=True, slots=True)
class HeadLimits:
    """Limits on the head of a message."""

    line_bytes: int = 8192
    block_bytes: int = 32768
    header_count: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """A parsed request head.

    :param target: path and query in origin form, or ``*``.
    :param host: value of the Host header, or the authority of an
        absolute-form target; empty only in HTTP/1.0.
    :param headers: the fields in the order received.
    :param content_length: stated length, or none.
    :param chunked: whether the body is in chunked coding.
    :param close: whether the caller wants the connection closed.
    :param expects_continue: whether it waits for ``100 Continue``.
    """

    method: str
    target: str
    version: tuple[int, int]
    host: str
    headers: Headers
    content_length: int | None
    chunked: bool
    close: bool
    expects_continue: bool

    def values(self, name: str) -> list[str]:
        """Return the values of the fields with this lower-case name."""
        return values_of(self.headers, name)


def parse_request_head(
    block: bytes, limits: HeadLimits | None = None
) -> RequestHead:
    """Parse a head; ``block`` ends with the empty line.

    :raises ProtocolError: if it violates RFC 9110, RFC 9112 or a limit.
    """
    limits = limits or HeadLimits()
    if len(block) > limits.block_bytes:
        raise ProtocolError("headers-too-large")
    line, _, rest = block.decode("latin-1").partition("\r\n")
    if len(line) > limits.line_bytes:
        raise ProtocolError("target-too-long")
    method, raw_target, version = _parse_request_line(line)
    lines = rest[:-2]
    if lines.count("\r\n") > limits.header_count:
        raise ProtocolError("headers-too-large")
    if len(lines) > limits.line_bytes and any(
        len(header) > limits.line_bytes for header in lines.split("\r\n")
    ):
        raise ProtocolError("headers-too-large")
    headers = parse_header_lines(lines)
    special: dict[str, list[str]] = {}
    for name, value in headers:
        key = name.lower()
        if key in _SPECIAL:
            special.setdefault(key, []).append(value)
    host = _parse_host(special.get("host", []), version)
    target, authority = _parse_target(method, raw_target)
    chunked, length = _parse_framing(special, version)
    connection = list_tokens(special.get("connection", []))
    _refuse_upgrade(special)
    return RequestHead(
        method=method,
        target=target,
        version=version,
        host=authority or host,
        headers=headers,
        content_length=length,
        chunked=chunked,
        # Keep-alive is an extension of HTTP/1.0 that proxies in front of a
        # caller may not support.
        close=version == (1, 0) or "close" in connection,
        expects_continue=_parse_expect(special, version),
    )


_SPECIAL = frozenset(
    {
        "host",
        "content-length",
        "transfer-encoding",
        "connection",
        "expect",
        "upgrade",
    }
)


def _parse_request_line(line: str) -> tuple[str, str, tuple[int, int]]:
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        if "\n" in line:
            raise ProtocolError("malformed-header", "a line ends in a bare LF")
        raise ProtocolError("malformed-request-line")
    method, target, major, minor = match.groups()
    if major != "1":
        raise ProtocolError("unsupported-version")
    if method == "CONNECT":
        raise ProtocolError("connect-not-supported")
    # RFC 9110 section 2.5: a higher minor version is handled as the highest
    # one that the recipient supports.
    return method, target, (1, min(int(minor), 1))


def _parse_target(method: str, target: str) -> tuple[str, str | None]:
    if _ORIGIN_FORM.fullmatch(target):
        return target, None
    if target == "*" and method == "OPTIONS":
        return target, None
    match = _ABSOLUTE_FORM.fullmatch(target)
    if match is None:
        raise ProtocolError("malformed-target")
    authority, path = match.groups()
    if not path.startswith("/"):
        path = "/" + path
        if _ORIGIN_FORM.fullmatch(path) is None:
            raise ProtocolError("malformed-target")
    return path, authority


def _parse_host(values: list[str], version: tuple[int, int]) -> str:
    if not values and version == (1, 0):
        return ""
    if len(values) != 1 or _HOST.fullmatch(values[0]) is None:
        raise ProtocolError("malformed-host")
    return values[0]


def _parse_framing(
    special: dict[str, list[str]], version: tuple[int, int]
) -> tuple[bool, int | None]:
    codings = special.get("transfer-encoding", [])
    lengths = special.get("content-length", [])
    if not codings:
        return False, parse_length(lengths)
    if lengths:
        raise ProtocolError("ambiguous-length")
    if len(codings) > 1 or codings[0].lower() != "chunked":
        raise ProtocolError("unknown-transfer-coding")
    if version == (1, 0):
        raise ProtocolError(
            "unknown-transfer-coding",
            "HTTP/1.0 has no transfer codings",
        )
    return True, None


def _parse_expect(
    special: dict[str, list[str]], version: tuple[int, int]
) -> bool:
    values = special.get("expect")
    if not values or version == (1, 0):
        return False
    if len(values) > 1 or values[0].lower() != "100-continue":
        raise ProtocolError("unsupported-expectation")
    return True


def _refuse_upgrade(special: dict[str, list[str]]) -> None:
    if "upgrade" in special:
        raise ProtocolError("upgrade-not-supported")
