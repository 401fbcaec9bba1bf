"""Kinds of setting values: validation, parsing and description."""

import ipaddress
import json
import math
import re
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

Value = bool | int | float | str | tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Flag:
    """True or false."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Integer:
    """A whole number in a range; both ends are allowed."""

    minimum: int
    maximum: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Number:
    """A finite number in a range; both ends are allowed."""

    minimum: float
    maximum: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """One of several strings."""

    choices: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Text:
    """A text that matches a pattern.

    :ivar hint: describes the pattern to operators.
    """

    pattern: str
    hint: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """An IP address with a port."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reference:
    """The name of an existing branch of a collection."""

    collection: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReferenceList:
    """Names of existing branches of a collection, or ``*`` for all."""

    collection: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceList:
    """A list of some of several strings."""

    choices: tuple[str, ...]


Kind = (
    Flag
    | Integer
    | Number
    | Choice
    | Text
    | Address
    | Reference
    | ReferenceList
    | ChoiceList
)

_NAME = re.compile("[a-z0-9][a-z0-9-]{0,62}")


def allowed(kind: Kind) -> str:
    """Return a short description of the allowed values."""
    match kind:
        case Flag():
            return "true or false"
        case Integer(minimum=low, maximum=high):
            return f"a whole number from {low} to {high}"
        case Number(minimum=low, maximum=high):
            return f"a number from {low:.12g} to {high:.12g}"
        case Choice(choices=choices):
            return "one of " + ", ".join(choices)
        case Text(hint=hint):
            return hint
        case Address():
            return "an IP address and a port, such as 10.0.0.7:8080"
        case Reference(collection=collection):
            return f"the name of a branch of /{collection}"
        case ReferenceList(collection=collection):
            return f"a list of names of branches of /{collection}, or *"
        case ChoiceList(choices=choices):
            return "a list of " + ", ".join(choices)


def check(kind: Kind, value: Any) -> Result[Value, str]:
    """Return the normalized value, or a description of the allowed ones."""
    normalized = _normalize(kind, value)
    return Err(allowed(kind)) if normalized is None else Ok(normalized)


def parse(kind: Kind, text: str) -> Result[Value, str]:
    """Parse the text that an operator entered."""
    match kind:
        case Flag():
            return check(kind, {"true": True, "false": False}.get(text))
        case Integer() | Number():
            return check(kind, _parse_number(text))
        case ReferenceList() | ChoiceList():
            return check(kind, [name for name in text.split(",") if name])
        case _:
            return check(kind, text)


def format_value(value: Any) -> str:
    """Format a value as :func:`parse` reads it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (tuple, list)):
        return ",".join(value)
    return "" if value is None else str(value)


def _parse_number(text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None


def _normalize(kind: Kind, value: Any) -> Value | None:
    match kind:
        case Flag():
            return value if isinstance(value, bool) else None
        case Integer(minimum=low, maximum=high):
            return _normalize_integer(value, low, high)
        case Number(minimum=low, maximum=high):
            return _normalize_number(value, low, high)
        case Choice(choices=choices):
            return value if value in choices else None
        case Text(pattern=pattern):
            return value if _matches(pattern, value) else None
        case Address():
            return value if is_address(value) else None
        case Reference():
            return value if _matches(_NAME, value) else None
        case ReferenceList():
            return _normalize_names(value)
        case ChoiceList(choices=choices):
            return _normalize_subset(value, choices)


def _normalize_integer(value: Any, low: int, high: int) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if low <= value <= high else None


def _normalize_number(value: Any, low: float, high: float) -> float | None:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if not math.isfinite(value) or not low <= value <= high:
        return None
    return float(value)


def _matches(pattern: str | re.Pattern[str], value: Any) -> bool:
    return isinstance(value, str) and bool(re.fullmatch(pattern, value))


def _normalize_names(value: Any) -> tuple[str, ...] | None:
    if not isinstance(value, (list, tuple)):
        return None
    if all(name == "*" or _matches(_NAME, name) for name in value):
        return tuple(sorted(set(value)))
    return None


def _normalize_subset(
    value: Any, choices: tuple[str, ...]
) -> tuple[str, ...] | None:
    if not isinstance(value, (list, tuple)):
        return None
    if all(isinstance(choice, str) and choice in choices for choice in value):
        return tuple(sorted(set(value)))
    return None


def is_address(value: Any) -> bool:
    """Return whether ``value`` is ``ip:port``, with IPv6 in brackets."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    if not re.fullmatch("[1-9][0-9]{0,4}", port) or int(port) > 65535:
        return False
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return is_bracketed == (address.version == 6)
