"""Applies operators' edits on a writer, or forwards them to one."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
import msgspec
from eventlet.event import Event
from result import Err, Ok, Result

from verbenad.agreement_loop import AgreementLoop
from verbenad.bus import Bus, Sender
from verbenaworks.admin_messages import (
    InstanceStatus,
    edit_from_json,
    to_json,
)
from verbenaworks.agreed_state import AgreedState, ConfigBytes
from verbenaworks.agreement import Agreement
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Edit
from verbenaworks.errors import EditRefused, OutcomeUnknown
from verbenaworks.state_edit import (
    AlreadyApplied,
    EditAccepted,
    EditOutcome,
    EditRejected,
    EditResult,
    EditUnknown,
    NotWriterError,
    StateEdit,
    StoreDownError,
)
from verbenaworks.wire import wire_message

EDIT_LIMIT_S = 8.0
RESEND_S = 1.0
# The edit is resent to a writer before the next writer gets it: once several
# writers have an edit, the refusal by one of them is not conclusive.
SENDS_PER_WRITER = 3

# Refusals that say nothing about other writers.
_NOT_BY_THIS_WRITER = frozenset({StoreDownError.code, NotWriterError.code})


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardEdit:
    """An edit on its way to a writer, as JSON."""

    edit: bytes


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class EditWasAccepted:
    """A forwarded edit took effect."""

    edit_id: str
    config_revision: int


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class EditWasRefused:
    """A forwarded edit has not taken effect and will not."""

    edit_id: str
    code: str
    message: str
    remedy: str


_Answer = EditWasAccepted | EditWasRefused


class EditPort:
    """Implements the port that the operators' interface uses.

    :param status: returns the instances that the membership knows.
    """

    def __init__(
        self,
        *,
        agreement: Agreement,
        bus: Bus,
        now_s: Callable[[], float],
        address_of: Callable[[str], str | None],
        document: Callable[[], ConfigDocument],
        status: Callable[[], list[InstanceStatus]],
    ) -> None:
        self._agreement = agreement
        self._bus = bus
        self._now_s = now_s
        self._address_of = address_of
        self._document = document
        self._status = status
        self._loop: AgreementLoop | None = None
        self._waiting: dict[str, Event] = {}
        self._forwarders: dict[str, set[str]] = {}
        self._decoder = _Decoder()
        bus.subscribe(ForwardEdit, self._on_forwarded)
        bus.subscribe(EditWasAccepted, self._on_answer)
        bus.subscribe(EditWasRefused, self._on_answer)

    def attach(self, loop: AgreementLoop) -> None:
        """Set the loop that carries out submitted edits."""
        self._loop = loop

    def document(self) -> ConfigDocument:
        """Return the newest document that the instance has applied."""
        return self._document()

    def status(self) -> list[InstanceStatus]:
        """Return all instances that the membership knows."""
        return self._status()

    def submit(self, edit: Edit) -> Result[int, EditRefused | OutcomeUnknown]:
        """Have a writer apply an edit; return the revision it created."""
        event = self._waiting.setdefault(edit.edit_id, Event())
        end_s = self._now_s() + EDIT_LIMIT_S
        asked: set[str] = set()
        try:
            for number in itertools.count():
                if self._now_s() >= end_s:
                    break
                asked |= self._send(edit, number // SENDS_PER_WRITER)
                with eventlet.Timeout(RESEND_S, False):
                    return _result(event.wait(), len(asked))
        finally:
            self._waiting.pop(edit.edit_id, None)
        return Err(OutcomeUnknown(edit.edit_id))

    def replace_writers(
        self, operator: str
    ) -> Result[tuple[str, ...], EditRefused | OutcomeUnknown]:
        """Replace the writers, which the operator knows to be dead."""
        if self._loop is None:
            return Err(OutcomeUnknown("replace-writers"))
        self._loop.carry_out(
            self._agreement.replace_lost_writers(self._now_s())
        )
        end_s = self._now_s() + EDIT_LIMIT_S
        while self._now_s() < end_s:
            if self._agreement.is_writer and self._agreement.state:
                writers = self._agreement.state.control.writers
                return Ok(tuple(writer.instance.name for writer in writers))
            eventlet.sleep(0.1)
        return Err(OutcomeUnknown("replace-writers"))

    def on_outcome(self, outcome: EditOutcome) -> None:
        """Handle the outcome of an edit that this writer submitted."""
        match outcome:
            case EditAccepted(edit_id=edit_id, config_revision=revision):
                answer: _Answer = EditWasAccepted(
                    edit_id=edit_id, config_revision=revision
                )
            case EditRejected(edit_id=edit_id, error=error):
                answer = EditWasRefused(
                    edit_id=edit_id,
                    code=error.code,
                    message=error.message,
                    remedy=error.remedy,
                )
            case EditUnknown():
                return
        self._wake(answer)
        for address in self._forwarders.pop(edit_id, set()):
            self._bus.send(address, answer)

    def _send(self, edit: Edit, number: int) -> set[str]:
        """Give the edit to a writer; return the name of that writer."""
        writers = self._agreement.writers_for_edit()
        if not writers:
            return set()
        writer = writers[number % len(writers)]
        if writer == self._bus.name:
            self._apply(edit)
            return {writer}
        address = self._address_of(writer)
        if address is None:
            return set()
        self._bus.send(address, ForwardEdit(edit=to_json(edit)))
        return {writer}

    def _apply(self, edit: Edit) -> None:
        if self._loop is not None:
            self._loop.submit(_state_edit(edit, self._decoder))

    def _on_forwarded(self, sender: Sender, message: ForwardEdit) -> None:
        edit = edit_from_json(message.edit)
        self._forwarders.setdefault(edit.edit_id, set()).add(sender.address)
        if self._agreement.is_writer:
            self._apply(edit)

    def _on_answer(self, _sender: Sender, answer: _Answer) -> None:
        self._wake(answer)

    def _wake(self, answer: _Answer) -> None:
        event = self._waiting.get(answer.edit_id)
        if event is not None and not event.ready():
            event.send(answer)


def _result(
    answer: _Answer, writers: int
) -> Result[int, EditRefused | OutcomeUnknown]:
    """Return the outcome of an edit that ``writers`` writers were given."""
    match answer:
        case EditWasAccepted(config_revision=revision):
            return Ok(revision)
        case EditWasRefused(code=code) if (
            writers > 1 and code in _NOT_BY_THIS_WRITER
        ):
            # Another writer may still apply it.
            return Err(OutcomeUnknown(answer.edit_id))
        case EditWasRefused():
            return Err(EditRefused(answer.code, answer.message, answer.remedy))


class _Decoder:
    """Decodes documents and caches the last one, which is often reused."""

    def __init__(self) -> None:
        self._data = b""
        self._document = ConfigDocument()

    def document(self, state: AgreedState) -> ConfigDocument:
        data = bytes(state.config)
        if data != self._data:
            self._document = ConfigDocument.from_bytes(data, self._document)
            self._data = data
        return self._document


def _state_edit(edit: Edit, decoder: _Decoder) -> StateEdit:
    def change(state: AgreedState) -> EditResult:
        document = decoder.document(state)
        earlier = document.find_edit(edit.edit_id)
        if earlier is not None and earlier.edit.same_request(edit):
            return AlreadyApplied(config_revision=earlier.config_revision)
        match document.apply_edit(edit):
            case Ok(changed):
                return config_bytes(changed)
            case Err(refusal):
                return refusal

    return StateEdit(edit_id=edit.edit_id, change=change)


def config_bytes(document: ConfigDocument) -> ConfigBytes:
    """Return a document in the form that the agreed state holds."""
    return ConfigBytes(
        document=msgspec.Raw(document.to_bytes()),
        config_revision=document.config_revision,
    )
