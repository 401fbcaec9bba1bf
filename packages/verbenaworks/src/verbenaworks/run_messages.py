"""Messages between entry instances and the owners of run ledgers."""

from dataclasses import dataclass

from verbenaworks.wire import wire_message


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """The answer to a request that ran.

    :ivar headers: end-to-end headers in order.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRun:
    """Asks for permission to run a request.

    :ivar key: workspace and idempotency key; the key starts with its ticket.
    :ivar attempt_id: unique name of this attempt; a resent message has the
        same one.
    :ivar fingerprint: digest of the request, which detects reused keys.
    """

    shard: int
    epoch: int
    generation: int
    key: str
    attempt_id: str
    fingerprint: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class RunNow:
    """The request has not run; only this attempt may run it."""

    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyAnswered:
    """The request has already run, with this answer."""

    attempt_id: str
    answer: StoredAnswer


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class StillRunning:
    """Another attempt is running the request."""

    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class RunUnknown:
    """It is unknown whether the request ran; it must not run again."""

    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyReused:
    """The key was used for a different request."""

    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class LedgerFull:
    """The ledger cannot store more keys; the request was not run."""

    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ReportAnswered:
    """The attempt ran the request and got an answer."""

    shard: int
    epoch: int
    key: str
    attempt_id: str
    answer: StoredAnswer | None


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ReportNotRun:
    """The attempt ended and certainly did not run the request."""

    shard: int
    epoch: int
    key: str
    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ReportUnknown:
    """The attempt ended and may have run the request."""

    shard: int
    epoch: int
    key: str
    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ReportTaken:
    """A report has been recorded in the ledger."""

    attempt_id: str


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class QueryGeneration:
    """Asks the owner of a shard for the generation of new tickets."""

    shard: int


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class CurrentGeneration:
    """The generation of new tickets of a shard."""

    shard: int
    epoch: int
    generation: int


ClaimReply = (
    RunNow
    | AlreadyAnswered
    | StillRunning
    | RunUnknown
    | KeyReused
    | LedgerFull
)
RunReport = ReportAnswered | ReportNotRun | ReportUnknown
