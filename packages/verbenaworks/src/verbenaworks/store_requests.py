"""Requests to the store and their results.

State machines return requests; the daemon sends them and passes each result
back with the id of the request. A request without a result counts as one of
unknown outcome.
"""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreGet:
    """Read a key; answered by StoreValue or StoreAbsent."""

    request_id: int
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreGetVersion:
    """Read a key's version; answered by StoreVersionFound or StoreAbsent."""

    request_id: int
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreWatch:
    """Wait up to ``wait_s`` for a version other than ``after_version``.

    Answered by StoreVersionFound with the newest version when it changed or
    the wait ended.
    """

    request_id: int
    key: str
    after_version: int
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StorePut:
    """Compare and swap; ``expected_version`` 0 means absent.

    Answered by StorePutApplied, StoreConflict, StoreUnavailable or
    StoreOutcomeUnknown.
    """

    request_id: int
    key: str
    value: bytes
    expected_version: int


StoreRequest = StoreGet | StoreGetVersion | StoreWatch | StorePut


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreValue:
    """A key's value and version."""

    value: bytes
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreVersionFound:
    """A key's version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAbsent:
    """The key does not exist."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StorePutApplied:
    """The write took effect with this version."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreConflict:
    """The key had another version; the write did not take effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUnavailable:
    """The request certainly had no effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreOutcomeUnknown:
    """The write may have taken effect, or may still take effect."""


StoreResult = (
    StoreValue
    | StoreVersionFound
    | StoreAbsent
    | StorePutApplied
    | StoreConflict
    | StoreUnavailable
    | StoreOutcomeUnknown
)
