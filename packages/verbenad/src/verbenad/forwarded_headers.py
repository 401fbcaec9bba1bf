"""Header fields and targets as they go from one side to the other."""

import re
from urllib.parse import unquote_plus

from verbenad.http_syntax import Headers, list_tokens

KEY_HEADER = "x-verbena-key"
KEY_PARAMETER = "verbena_key"
# Shorter values are no keys; removing them wherever they occur would remove
# unrelated fields.
MIN_KEY_CHARACTERS = 12

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
# The forwarder writes these itself.
_REQUEST_DROPPED = _HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "x-request-deadline-ms",
    "x-request-id",
    KEY_HEADER,
}
# Callers rely on what the entry instance says about a run.
_ANSWER_DROPPED = _HOP_BY_HOP | {"x-not-run", "x-verbena-run"}
_PARAMETER_SEPARATORS = re.compile(r"([&;])")


class KeyInPathError(Exception):
    """The path contains the caller's key and cannot go without it."""


def request_headers(
    headers: Headers,
    keys: frozenset[str],
    written: frozenset[str] = frozenset(),
) -> Headers:
    """Return the end-to-end fields of a request without the key.

    :param keys: the key texts that were sent with the request.
    :param written: further names that are left out.
    """
    named: frozenset[str] = frozenset()
    for name, value in headers:
        if len(name) == 10 and name.lower() == "connection":
            named |= list_tokens([value])
    kept = []
    for field in headers:
        key = field[0].lower()
        if "_" in key:
            # Backend servers in the CGI tradition read an underscore as a
            # hyphen.
            key = key.replace("_", "-")
        if key in _REQUEST_DROPPED or key in named or key in written:
            continue
        if keys and _carries(field[1], keys):
            continue
        kept.append(field)
    return kept


def answer_headers(headers: Headers, named: frozenset[str]) -> Headers:
    """Return the end-to-end fields of an answer.

    :param named: lower-case names listed in its Connection field.
    """
    dropped = _ANSWER_DROPPED | named if named else _ANSWER_DROPPED
    return [field for field in headers if field[0].lower() not in dropped]


def sent_keys(
    headers: Headers,
    target: str,
    key_header: str = KEY_HEADER,
    *,
    in_query: bool = True,
) -> frozenset[str]:
    """Return the key texts that were sent with a request.

    :param key_header: lower-case name of the field with the key.
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
    _, mark, query = target.partition("?")
    if mark and in_query:
        for part in _PARAMETER_SEPARATORS.split(query):
            name, _, value = part.partition("=")
            if _is_key_parameter(name):
                keys.add(unquote_plus(value))
    return frozenset(k for k in keys if len(k) >= MIN_KEY_CHARACTERS)


def target_without_key(target: str, keys: frozenset[str]) -> str:
    """Return the target without the query parameters that carry the key.

    :raises KeyInPathError: if the path contains a key.
    """
    path, mark, query = target.partition("?")
    if keys and _carries(path, keys):
        raise KeyInPathError
    if not mark:
        return target
    # Any escaped or upper-case spelling of the parameter has one of these.
    if not keys and "%" not in query and "verbena" not in query.lower():
        return target
    parts = _PARAMETER_SEPARATORS.split(query)
    kept: list[str] = []
    for index in range(0, len(parts), 2):
        part = parts[index]
        if _is_key_parameter(part.partition("=")[0]):
            continue
        if keys and _carries(part, keys):
            continue
        if kept:
            kept.append(parts[index - 1])
        kept.append(part)
    return f"{path}?{''.join(kept)}" if kept else path


def _is_key_parameter(name: str) -> bool:
    return unquote_plus(name).strip().lower() == KEY_PARAMETER


def _carries(text: str, keys: frozenset[str]) -> bool:
    for key in keys:
        if key in text:
            return True
    return "%" in text and any(key in unquote_plus(text) for key in keys)
