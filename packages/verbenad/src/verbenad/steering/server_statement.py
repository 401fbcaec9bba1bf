"""What a backend server says of itself in a response."""

import re
from dataclasses import dataclass

from verbenad.field_names import FieldNames
from verbenad.http_syntax import Headers

_LOAD = re.compile(r" *([0-9]{1,9}) *, *([0-9]{1,9}) *, *[0-9]{1,9} *")
_LIMIT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatement:
    """Load and limit of a server; none if it does not name them.

    :param load: requests that run or wait.
    :param limit_per_s: requests per second that the server takes from all
        instances together.
    :param load_text: the load as received.
    :param limit_text: the limit as received; empty if there is none.
    """

    load: int | None = None
    limit_per_s: float | None = None
    load_text: str = ""
    limit_text: str = ""

    @property
    def has_unreadable_limit(self) -> bool:
        """Whether there is a limit that cannot be read."""
        return bool(self.limit_text) and self.limit_per_s is None


class StatementParser:
    """Reads the statements in the headers of responses.

    :param names: names of the headers.
    """

    def __init__(self, names: FieldNames) -> None:
        self._load_field = (names.load or "").lower()
        self._limit_field = (names.limit or "").lower()

    def parse(self, headers: Headers) -> ServerStatement:
        """Return the statement; unreadable values are left out."""
        load_text = limit_text = ""
        for name, value in headers:
            field = name.lower()
            if field == self._load_field:
                load_text = value
            elif field == self._limit_field:
                limit_text = value
        load = _LOAD.fullmatch(load_text)
        is_limit = _LIMIT.fullmatch(limit_text) is not None
        return ServerStatement(
            load=int(load[1]) + int(load[2]) if load else None,
            limit_per_s=float(limit_text) if is_limit else None,
            load_text=load_text,
            limit_text=limit_text,
        )
