"""Sequential writes of one instance to the key of the agreed state.

Each write is a compare-and-swap, sent after a read of the key's version. If
the outcome is unknown, reads of the key settle it: once the key has a version
other than the expected one, the write can no longer take effect, and the
value shows whether it did. While the key still has the expected version, the
same write is sent again, because the first one may still arrive.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from verbenaworks.agreed_state import AGREED_KEY, AgreedState, AgreedStateError
from verbenaworks.control_record import InstanceId
from verbenaworks.errors import VerbenaError
from verbenaworks.state_edit import (
    AlreadyApplied,
    EditAccepted,
    EditOutcome,
    EditRejected,
    EditUnknown,
    NotWriterError,
    StateEdit,
    StoreDownError,
)
from verbenaworks.store_requests import (
    StoreConflict,
    StoreGetVersion,
    StoreOutcomeUnknown,
    StorePut,
    StorePutApplied,
    StoreRequest,
    StoreResult,
    StoreUnavailable,
    StoreVersionFound,
)

EDIT_TIMEOUT_S = 5.0
STORE_TIMEOUT_S = 2.0
_PROBE_INTERVAL_S = 0.2

BuildResult = AgreedState | AlreadyApplied | VerbenaError


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteBasis:
    """The state on which the next write is based.

    :param version: the key's version in the store; 0 when absent.
    :param sequence: sequence of the state in the store; 0 when absent.
    :param state: the newest state that the instance knows.
    """

    version: int
    sequence: int
    state: AgreedState | None


@dataclass(frozen=True, kw_only=True, slots=True)
class SettledWrite:
    """A write that took effect.

    :param version: the key's version after the write.
    """

    state: AgreedState
    version: int


@dataclass(kw_only=True, slots=True, eq=False)
class _Job:
    job_id: str
    build: Callable[[WriteBasis], BuildResult]
    edit: StateEdit | None = None
    expires_at_s: float | None = None
    reported: bool = False
    # The store was restored, so the write may have taken effect before.
    may_have_been_applied: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class _Attempt:
    job: _Job
    basis: WriteBasis
    state: AgreedState
    value: bytes
    started_at_s: float
    sent_at_s: float
    request_ids: set[int] = field(default_factory=set)
    is_outcome_unknown: bool = False
    is_awaiting_result: bool = True


class StateWrites:
    """Queue of the writes of one instance.

    :param instance: this instance.
    :param next_id: returns a new request id.
    """

    def __init__(
        self, instance: InstanceId, next_id: Callable[[], int]
    ) -> None:
        self._instance = instance
        self._next_id = next_id
        self._jobs: deque[_Job] = deque()
        self._attempt: _Attempt | None = None
        self._probe: tuple[int, float, WriteBasis] | None = None
        self._probed_at_s = float("-inf")
        self._outcomes: list[EditOutcome] = []
        self._is_closed = False

    @property
    def is_settled(self) -> bool:
        """Return whether no write is in flight or of unknown outcome."""
        return self._attempt is None

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is queued or unsettled."""
        return self._attempt is None and not self._jobs

    def drain_outcomes(self) -> list[EditOutcome]:
        """Return the outcomes of edits since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def submit(self, edit: StateEdit, now_s: float) -> None:
        """Queue an edit, unless one with the same id is queued."""
        if any(job.job_id == edit.edit_id for job in self._unsettled_jobs()):
            return
        self._jobs.append(
            _Job(
                job_id=edit.edit_id,
                build=lambda basis: _build_edit(self._instance, edit, basis),
                edit=edit,
                expires_at_s=now_s + EDIT_TIMEOUT_S,
            )
        )

    def submit_control(
        self, job_id: str, build: Callable[[WriteBasis], BuildResult]
    ) -> None:
        """Queue a change of the control record ahead of all edits."""
        if not any(job.job_id == job_id for job in self._unsettled_jobs()):
            self._jobs.appendleft(_Job(job_id=job_id, build=build))

    def close(self) -> None:
        """Stop sending writes."""
        self._is_closed = True

    def refuse_queued(self, error: VerbenaError) -> None:
        """Refuse every queued edit that has not been sent."""
        for job in self._jobs:
            self._report_rejected(job, error)
        self._jobs.clear()

    def step(
        self, now_s: float, basis: WriteBasis | None
    ) -> list[StoreRequest]:
        """Start the next write, and expire requests without a result.

        :param basis: None while the content of the store is not known.
        """
        self._expire(now_s)
        if self._attempt is not None or not self._jobs or basis is None:
            return []
        if self._probe is not None or self._is_closed:
            return []
        if now_s < self._probed_at_s + _PROBE_INTERVAL_S:
            return []
        request = StoreGetVersion(request_id=self._next_id(), key=AGREED_KEY)
        self._probe = (request.request_id, now_s, basis)
        self._probed_at_s = now_s
        return [request]

    def on_probe(
        self, now_s: float, request_id: int, result: StoreResult
    ) -> list[StoreRequest]:
        """Send the write if the key still has the known version."""
        if self._probe is None or self._probe[0] != request_id:
            return []
        basis = self._probe[2]
        self._probe = None
        version = (
            result.version if isinstance(result, StoreVersionFound) else 0
        )
        if isinstance(result, StoreUnavailable | StoreOutcomeUnknown):
            return []
        if version != basis.version:
            return []
        self._probed_at_s = float("-inf")
        return self._send_next(now_s, basis)

    def on_put(
        self, now_s: float, request_id: int, result: StoreResult
    ) -> SettledWrite | None:
        """Handle the result of a write."""
        attempt = self._attempt
        if attempt is None or request_id not in attempt.request_ids:
            return None
        match result:
            case StorePutApplied(version=version):
                return self._on_applied(now_s, version)
            case StoreOutcomeUnknown():
                attempt.is_outcome_unknown = True
            case StoreConflict() | StoreUnavailable() if (
                not attempt.is_outcome_unknown
            ):
                self._attempt = None
                self._jobs.appendleft(attempt.job)
        attempt.is_awaiting_result = False
        return None

    def needs_read(self) -> bool:
        """Return whether a read is needed to settle a write."""
        return (
            self._attempt is not None and not self._attempt.is_awaiting_result
        )

    def on_read(
        self, now_s: float, sent_at_s: float, version: int, value: bytes
    ) -> tuple[SettledWrite | None, list[StoreRequest]]:
        """Settle an unknown outcome by a read of the key.

        :param sent_at_s: when the read was sent.
        :param value: empty when the key is absent.
        """
        attempt = self._attempt
        if attempt is None or sent_at_s < attempt.started_at_s:
            return None, []
        if value == attempt.value:
            return self._on_applied(now_s, version), []
        if version == attempt.basis.version:
            if attempt.is_awaiting_result or sent_at_s < attempt.sent_at_s:
                return None, []
            return None, [self._make_put(attempt, now_s)]
        self._attempt = None
        self._settle_replaced_write(attempt, value)
        return None, []

    def _settle_replaced_write(self, attempt: _Attempt, value: bytes) -> None:
        """Settle a write after the key's version has changed.

        The write took effect only if the value contains it. If the store was
        restored to an older state, the value does not show whether it did.
        """
        job = attempt.job
        if job.edit is not None:
            try:
                state = AgreedState.from_bytes(value)
            except AgreedStateError:
                job.may_have_been_applied = True
                self._jobs.appendleft(job)
                return
            if state.sequence < attempt.state.sequence:
                job.may_have_been_applied = True
            found = job.edit.change(state)
            if isinstance(found, AlreadyApplied):
                self._report_accepted(job, found.config_revision)
                return
            if job.reported:
                return
        self._jobs.appendleft(job)

    def _unsettled_jobs(self) -> list[_Job]:
        current = [] if self._attempt is None else [self._attempt.job]
        return current + list(self._jobs)

    def _send_next(
        self, now_s: float, basis: WriteBasis
    ) -> list[StoreRequest]:
        while self._jobs and not self._is_closed:
            job = self._jobs.popleft()
            built = job.build(basis)
            match built:
                case AlreadyApplied(config_revision=revision):
                    self._report_accepted(job, revision)
                    continue
                case VerbenaError():
                    self._report_rejected(job, built)
                    continue
            known_sequence = 0 if basis.state is None else basis.state.sequence
            state = replace(
                built, sequence=max(known_sequence, basis.sequence) + 1
            )
            self._attempt = _Attempt(
                job=job,
                basis=basis,
                state=state,
                value=state.to_bytes(),
                started_at_s=now_s,
                sent_at_s=now_s,
            )
            return [self._make_put(self._attempt, now_s)]
        return []

    def _make_put(self, attempt: _Attempt, now_s: float) -> StorePut:
        request = StorePut(
            request_id=self._next_id(),
            key=AGREED_KEY,
            value=attempt.value,
            expected_version=attempt.basis.version,
        )
        attempt.request_ids.add(request.request_id)
        attempt.is_awaiting_result = True
        attempt.sent_at_s = now_s
        return request

    def _on_applied(self, now_s: float, version: int) -> SettledWrite | None:
        attempt = self._attempt
        if attempt is None:
            return None
        self._attempt = None
        self._report_accepted(attempt.job, attempt.state.config_revision)
        return SettledWrite(state=attempt.state, version=version)

    def _expire(self, now_s: float) -> None:
        if self._probe and now_s >= self._probe[1] + STORE_TIMEOUT_S:
            self._probe = None
        attempt = self._attempt
        if attempt is not None:
            if now_s >= attempt.sent_at_s + STORE_TIMEOUT_S:
                attempt.is_outcome_unknown = True
                attempt.is_awaiting_result = False
            job = attempt.job
            if _is_expired(job, now_s) and not job.reported and job.edit:
                job.reported = True
                self._outcomes.append(EditUnknown(edit_id=job.job_id))
        for job in [job for job in self._jobs if _is_expired(job, now_s)]:
            self._jobs.remove(job)
            self._report_rejected(
                job,
                StoreDownError(
                    "the store did not accept the edit"
                    f" within {EDIT_TIMEOUT_S} s",
                    "try again when the store answers",
                ),
            )

    def _report_accepted(self, job: _Job, config_revision: int) -> None:
        if job.edit is not None:
            self._outcomes.append(
                EditAccepted(
                    edit_id=job.job_id, config_revision=config_revision
                )
            )

    def _report_rejected(self, job: _Job, error: VerbenaError) -> None:
        if job.edit is None or job.reported:
            return
        self._outcomes.append(
            EditUnknown(edit_id=job.job_id)
            if job.may_have_been_applied
            else EditRejected(edit_id=job.job_id, error=error)
        )


def _is_expired(job: _Job, now_s: float) -> bool:
    return job.expires_at_s is not None and now_s >= job.expires_at_s


def _build_edit(
    instance: InstanceId, edit: StateEdit, basis: WriteBasis
) -> BuildResult:
    state = basis.state
    not_writer = NotWriterError(
        f"{instance.name} is not a writer", "send the edit to a writer"
    )
    if state is None:
        return not_writer
    result = edit.change(state)
    if isinstance(result, AlreadyApplied):
        return result
    if not state.control.is_writer(instance):
        return not_writer
    if isinstance(result, VerbenaError):
        return result
    return replace(
        state,
        config=result.document,
        config_revision=result.config_revision,
    )
