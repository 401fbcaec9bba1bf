"""Selects the headers and rewrites the targets that are forwarded."""

import re
from urllib.parse import unquote_plus

from verbenad.http_syntax import Headers, list_tokens

KEY_HEADER = "x-verbena-key"
KEY_PARAMETER = "verbena_key"
# Shorter values cannot be keys. Removing every header that contains one of
# them would remove unrelated headers.
MIN_KEY_LENGTH = 12

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The forwarder writes these headers itself, or withholds them.
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "x-request-deadline-ms",
    "x-request-id",
    KEY_HEADER,
}
# Only the entry instance may tell callers whether a request has run.
_DROPPED_FROM_RESPONSES = _HOP_BY_HOP | {"x-not-run", "x-verbena-run"}
_PARAMETER_SEPARATORS = re.compile(r"([&;])")


class KeyInPathError(Exception):
    """The path contains the caller's key, which cannot be removed from it."""


def request_headers(
    headers: Headers,
    keys: frozenset[str],
    reserved_names: frozenset[str] = frozenset(),
) -> Headers:
    """Return the end-to-end headers of a request without the key.

    :param keys: the keys that were sent with the request.
    :param reserved_names: further names to leave out.
    """
    connection_fields: frozenset[str] = frozenset()
    for name, value in headers:
        if len(name) == 10 and name.lower() == "connection":
            connection_fields |= list_tokens([value])
    kept = []
    for field in headers:
        key = field[0].lower()
        if "_" in key:
            # Backend servers that follow CGI conventions treat an underscore
            # as a hyphen.
            key = key.replace("_", "-")
        if (
            key in _DROPPED_FROM_REQUESTS
            or key in connection_fields
            or key in reserved_names
        ):
            continue
        if keys and _contains_key(field[1], keys):
            continue
        kept.append(field)
    return kept


def response_headers(
    headers: Headers, connection_fields: frozenset[str]
) -> Headers:
    """Return the end-to-end headers of a response.

    :param connection_fields: lower-case names in its Connection header.
    """
    dropped_names = (
        _DROPPED_FROM_RESPONSES | connection_fields
        if connection_fields
        else _DROPPED_FROM_RESPONSES
    )
    return [
        field for field in headers if field[0].lower() not in dropped_names
    ]


def sent_keys(
    headers: Headers,
    target: str,
    key_header: str = KEY_HEADER,
    *,
    in_query: bool = True,
) -> frozenset[str]:
    """Return the keys that were sent with a request.

    :param key_header: lower-case name of the header that carries the key.
    :param in_query: whether the query may carry the key.
    """
    keys = set()
    length = len(key_header)
    for name, value in headers:
        if (
            len(name) == length
            and name.lower().replace("_", "-") == key_header
        ):
            keys.add(value)
    _, question_mark, query = target.partition("?")
    if question_mark and in_query:
        for part in _PARAMETER_SEPARATORS.split(query):
            name, _, value = part.partition("=")
            if _is_key_parameter(name):
                keys.add(unquote_plus(value))
    return frozenset(k for k in keys if len(k) >= MIN_KEY_LENGTH)


def target_without_key(target: str, keys: frozenset[str]) -> str:
    """Return the target without the query parameters that carry the key.

    :raises KeyInPathError: if the path contains a key.
    """
    path, question_mark, query = target.partition("?")
    if keys and _contains_key(path, keys):
        raise KeyInPathError
    if not question_mark:
        return target
    # Any spelling of the parameter contains "verbena" in some case, or a
    # percent escape.
    if not keys and "%" not in query and "verbena" not in query.lower():
        return target
    parts = _PARAMETER_SEPARATORS.split(query)
    kept: list[str] = []
    for index in range(0, len(parts), 2):
        part = parts[index]
        if _is_key_parameter(part.partition("=")[0]):
            continue
        if keys and _contains_key(part, keys):
            continue
        if kept:
            kept.append(parts[index - 1])
        kept.append(part)
    return f"{path}?{''.join(kept)}" if kept else path


def _is_key_parameter(name: str) -> bool:
    return unquote_plus(name).strip().lower() == KEY_PARAMETER


def _contains_key(text: str, keys: frozenset[str]) -> bool:
    for key in keys:
        if key in text:
            return True
    return "%" in text and any(key in unquote_plus(text) for key in keys)
