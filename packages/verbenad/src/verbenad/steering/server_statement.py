"""What a backend server says of itself in a response."""

import re
from dataclasses import dataclass

from verbenad.field_names import FieldNames
from verbenad.http_syntax import Headers

# The fourth figure is stated by newer services only.
_LOAD = re.compile(
    r" *([0-9]{1,9}) *, *([0-9]{1,9}) *, *[0-9]{1,9} *(?:, *([0-9]{1,9}) *)?"
)
# Stated for work that takes the usual time.
_USUAL_WORK = 100
_LIMIT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_PAUSE = re.compile(r"[0-9]{1,40}(\.[0-9]{1,40})?")
_LEAVING = "1"
_PAUSE_FIELD = "retry-after"
# Only this status means that the server refused for want of room.
_PAUSE_STATUS = 503


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatement:
    """Load, limit, pause and end of a server; none if it does not name them.

    :param load: requests that run or wait.
    :param work_factor: how much longer than usual work takes on its machine.
    :param limit_per_s: requests per second that the server takes from all
        instances together.
    :param pause_s: time for which it wants no requests from this instance.
    :param leaving: whether it is about to end.
    :param load_text: the load as received.
    :param limit_text: the limit as received; empty if there is none.
    :param pause_text: the pause as received; empty if there is none.
    """

    load: int | None = None
    work_factor: float | None = None
    limit_per_s: float | None = None
    pause_s: float | None = None
    leaving: bool = False
    load_text: str = ""
    limit_text: str = ""
    pause_text: str = ""

    @property
    def has_unreadable_limit(self) -> bool:
        """Whether there is a limit that cannot be read."""
        return bool(self.limit_text) and self.limit_per_s is None

    @property
    def has_unreadable_pause(self) -> bool:
        """Whether there is a pause that cannot be read."""
        return bool(self.pause_text) and self.pause_s is None


class StatementParser:
    """Reads the statements in the headers of responses.

    :param names: names of the headers.
    """

    def __init__(self, names: FieldNames) -> None:
        self._load_field = (names.load or "").lower()
        self._limit_field = (names.limit or "").lower()
        self._leaving_field = (names.leaving or "").lower()

    def parse(self, headers: Headers, status: int = 200) -> ServerStatement:
        """Return the statement; unreadable values are left out.

        :param status: status of the response.
        """
        texts = {name.lower(): value for name, value in headers}
        load_text = texts.get(self._load_field, "")
        limit_text = texts.get(self._limit_field, "")
        pause_text = ""
        if status == _PAUSE_STATUS:
            pause_text = texts.get(_PAUSE_FIELD, "")
        load = _LOAD.fullmatch(load_text)
        is_limit = _LIMIT.fullmatch(limit_text) is not None
        is_pause = _PAUSE.fullmatch(pause_text) is not None
        return ServerStatement(
            load=int(load[1]) + int(load[2]) if load else None,
            work_factor=(
                int(load[3]) / _USUAL_WORK
                if load and int(load[3] or 0)
                else None
            ),
            limit_per_s=float(limit_text) if is_limit else None,
            pause_s=float(pause_text) if is_pause else None,
            leaving=texts.get(self._leaving_field) == _LEAVING,
            load_text=load_text,
            limit_text=limit_text,
            pause_text=pause_text,
        )
