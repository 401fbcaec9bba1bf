"""Strict syntax of RFC 9112 that requests and responses share."""

import re

from verbenad.protocol_errors import ProtocolError

Headers = list[tuple[str, str]]

TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
# Possessive quantifiers keep matching linear on malicious input.
_HEADER_LINES = re.compile(rf"(?:{TOKEN}++:[^\x00-\x08\x0a-\x1f\x7f]*+\r\n)*+")
_HEADER_LINE = re.compile(rf"{TOKEN}++:[^\x00-\x08\x0a-\x1f\x7f]*+")
_FIELD_VALUE = re.compile(
    r"[\x21-\x7e\x80-\xff]+(?:[ \t]+[\x21-\x7e\x80-\xff]+)*"
)
_DIGITS = re.compile(r"[0-9]{1,18}")
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")


def parse_header_lines(block: str) -> Headers:
    """Return the headers of ``block``, whose lines end in CRLF.

    :raises ProtocolError: if a line is malformed.
    """
    if _HEADER_LINES.fullmatch(block) is None:
        raise _header_error(block)
    headers = []
    for line in block.split("\r\n")[:-1]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip(" \t")))
    return headers


def _header_error(block: str) -> ProtocolError:
    for line in block.split("\r\n")[:-1]:
        if _HEADER_LINE.fullmatch(line):
            continue
        if line.startswith((" ", "\t")):
            return ProtocolError("malformed-header", "a header is folded")
        if "\n" in line or "\r" in line:
            return ProtocolError(
                "malformed-header", "a header line ends in a bare CR or LF"
            )
        name, colon, _ = line.partition(":")
        if colon and name != name.rstrip(" \t"):
            return ProtocolError(
                "malformed-header", "a space stands before the colon"
            )
        return ProtocolError("malformed-header")
    return ProtocolError("malformed-header")


def values_of(headers: Headers, name: str) -> list[str]:
    """Return the values of all headers whose lower-case name is ``name``."""
    return [value for key, value in headers if key.lower() == name]


def encode_field_value(text: str) -> str:
    """Return a value as the octets of a header, one in each character.

    Characters beyond ASCII are sent in UTF-8.

    :raises ValueError: if no header can carry the value.
    """
    octets = text.encode().decode("latin-1")
    if _FIELD_VALUE.fullmatch(octets) is None:
        raise ValueError(f"no header can carry the value {text[:60]!r}")
    return octets


def parse_length(values: list[str]) -> int | None:
    """Return the length in the Content-Length header, or None.

    :raises ProtocolError: if it is repeated or not a plain number.
    """
    if not values:
        return None
    if len(values) > 1 or _DIGITS.fullmatch(values[0]) is None:
        raise ProtocolError("malformed-length")
    return int(values[0])


def list_tokens(values: list[str]) -> frozenset[str]:
    """Return the lower-case members of a comma-separated list header."""
    return frozenset(
        token.strip(" \t").lower()
        for value in values
        for token in value.split(",")
    )
