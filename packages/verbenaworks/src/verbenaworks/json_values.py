"""Decodes JSON values that may come from anyone."""

import ipaddress
import json
from typing import Any

import msgspec

# Larger numbers are no times in milliseconds and no counters.
MAX_INTEGER = 2**53
MAX_PORT = 65535
MAX_REASON_LENGTH = 200


def decode_json(data: bytes | msgspec.Raw, value_type: Any) -> Any:
    """Decode a value of a type.

    :raises ValueError: if the data does not fit the type.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error
    except msgspec.DecodeError as error:
        # It may quote the value.
        raise ValueError(str(error)[:MAX_REASON_LENGTH]) from error


def decode_json_list(data: bytes, value_type: Any) -> Any:
    """Decode a value whose type has ``msgspec.Raw`` for each item of a list.

    An escaped half of a surrogate pair makes msgspec refuse the whole value.
    Without escapes, only the item that contains it is malformed.

    :raises ValueError: if the data does not fit the type.
    """
    try:
        return decode_json(data, value_type)
    except ValueError:
        return decode_json(_without_escapes(data), value_type)


def _without_escapes(data: bytes) -> bytes:
    try:
        text = json.dumps(json.loads(data), ensure_ascii=False)
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error
    return text.encode(errors="surrogatepass")


def parse_endpoint(text: str) -> tuple[str, int]:
    """Return the IP address and the port of an address.

    :raises ValueError: if one of them is not valid.
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"the address {text[:60]!r} has no valid port")
    return host, int(port)
