"""Messages about requests that crash backend servers."""

from dataclasses import dataclass

from verbenaworks.wire import wire_message


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class CrashSeen:
    """A backend server crashed while these requests were in flight on it.

    :ivar crash_id: unique name of the crash.
    :ivar age_s: time since the crash at the sender, in seconds.
    :ivar digests: digests of the requests in flight.
    """

    crash_id: str
    age_s: float
    digests: tuple[str, ...]


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class CrashTaken:
    """A :class:`CrashSeen` has been recorded."""

    crash_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class SuspectCleared:
    """A suspect request completed, so it did not cause its earlier crashes."""

    digest: str
    crash_ids: tuple[str, ...]
