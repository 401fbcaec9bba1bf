"""Kinds of setting values: check, parse from text, describe."""

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
    """One of several words."""

    choices: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Text:
    """A text that matches a pattern."""

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
    """Several of a list of words."""

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
    """Return a short text that says which values are allowed."""
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
    """Return the value in its normal form, or what is allowed instead."""
    normal = _normal_form(kind, value)
    return Err(allowed(kind)) if normal is None else Ok(normal)


def parse(kind: Kind, text: str) -> Result[Value, str]:
    """Return the value that an operator wrote as ``text``."""
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
    """Return a value in the form that :func:`parse` reads."""
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


def _normal_form(kind: Kind, value: Any) -> Value | None:
    match kind:
        case Flag():
            return value if isinstance(value, bool) else None
        case Integer(minimum=low, maximum=high):
            return _integer(value, low, high)
        case Number(minimum=low, maximum=high):
            return _number(value, low, high)
        case Choice(choices=choices):
            return value if value in choices else None
        case Text(pattern=pattern):
            return value if _matches(pattern, value) else None
        case Address():
            return value if is_address(value) else None
        case Reference():
            return value if _matches(_NAME, value) else None
        case ReferenceList():
            return _names(value)
        case ChoiceList(choices=choices):
            return _subset(value, choices)


def _integer(value: Any, low: int, high: int) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if low <= value <= high else None


def _number(value: Any, low: float, high: float) -> float | None:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if not math.isfinite(value) or not low <= value <= high:
        return None
    return float(value)


def _matches(pattern: str | re.Pattern[str], value: Any) -> bool:
    return isinstance(value, str) and bool(re.fullmatch(pattern, value))


def _names(value: Any) -> tuple[str, ...] | None:
    if not isinstance(value, (list, tuple)):
        return None
    if all(name == "*" or _matches(_NAME, name) for name in value):
        return tuple(sorted(set(value)))
    return None


def _subset(value: Any, choices: tuple[str, ...]) -> tuple[str, ...] | None:
    if not isinstance(value, (list, tuple)):
        return None
    if all(isinstance(word, str) and word in choices for word in value):
        return tuple(sorted(set(value)))
    return None


def is_address(value: Any) -> bool:
    """Return whether ``value`` is ``ip:port``, IPv6 in brackets."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    if not re.fullmatch("[1-9][0-9]{0,4}", port) or int(port) > 65535:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return bracketed == (address.version == 6)
