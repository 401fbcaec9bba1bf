"""Applies operators' edits here or forwards them to a writer."""

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

EDIT_TIMEOUT_S = 8.0
RESEND_INTERVAL_S = 1.0
# One writer is retried before the next is tried. Once two writers have an
# edit, a refusal that holds for one of them only (an unavailable store, for
# example) is not final, because the other may still apply the edit.
ATTEMPTS_PER_WRITER = 3

# Codes of refusals that do not imply that other writers would refuse.
_WRITER_SPECIFIC_CODES = frozenset({StoreDownError.code, NotWriterError.code})


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardEdit:
    """Forwards an edit, as JSON, to a writer."""

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


_EditReply = EditWasAccepted | EditWasRefused


class EditPort:
    """Implements :class:`AgreementPort` for the admin API.

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
        self._agreement_loop: AgreementLoop | None = None
        self._pending: dict[str, Event] = {}
        self._forwarder_addresses: dict[str, set[str]] = {}
        self._cache = _DocumentCache()
        bus.subscribe(ForwardEdit, self._on_forwarded)
        bus.subscribe(EditWasAccepted, self._on_reply)
        bus.subscribe(EditWasRefused, self._on_reply)

    def attach(self, loop: AgreementLoop) -> None:
        """Set the loop that executes submitted edits."""
        self._agreement_loop = loop

    def document(self) -> ConfigDocument:
        """Return the newest document that the instance has applied."""
        return self._document()

    def status(self) -> list[InstanceStatus]:
        """Return all instances that the membership knows."""
        return self._status()

    def submit(self, edit: Edit) -> Result[int, EditRefused | OutcomeUnknown]:
        """Have a writer apply an edit; return the revision it created."""
        event = self._pending.setdefault(edit.edit_id, Event())
        end_s = self._now_s() + EDIT_TIMEOUT_S
        tried_writers: set[str] = set()
        try:
            for number in itertools.count():
                if self._now_s() >= end_s:
                    break
                tried_writers |= self._send(
                    edit, number // ATTEMPTS_PER_WRITER
                )
                with eventlet.Timeout(RESEND_INTERVAL_S, False):
                    return _submit_result(event.wait(), len(tried_writers))
        finally:
            self._pending.pop(edit.edit_id, None)
        return Err(OutcomeUnknown(edit.edit_id))

    def replace_writers(
        self, operator: str
    ) -> Result[tuple[str, ...], EditRefused | OutcomeUnknown]:
        """Replace the writers, which the operator knows to be dead."""
        if self._agreement_loop is None:
            return Err(OutcomeUnknown("replace-writers"))
        self._agreement_loop.carry_out(
            self._agreement.replace_lost_writers(self._now_s())
        )
        end_s = self._now_s() + EDIT_TIMEOUT_S
        while self._now_s() < end_s:
            if self._agreement.is_writer and self._agreement.state:
                writers = self._agreement.state.control.writers
                return Ok(tuple(writer.instance.name for writer in writers))
            eventlet.sleep(0.1)
        return Err(OutcomeUnknown("replace-writers"))

    def on_outcome(self, outcome: EditOutcome) -> None:
        """Report the outcome of an edit that this writer submitted."""
        match outcome:
            case EditAccepted(edit_id=edit_id, config_revision=revision):
                reply: _EditReply = EditWasAccepted(
                    edit_id=edit_id, config_revision=revision
                )
            case EditRejected(edit_id=edit_id, error=error):
                reply = EditWasRefused(
                    edit_id=edit_id,
                    code=error.code,
                    message=error.message,
                    remedy=error.remedy,
                )
            case EditUnknown():
                return
        self._deliver_reply(reply)
        for address in self._forwarder_addresses.pop(edit_id, set()):
            self._bus.send(address, reply)

    def _send(self, edit: Edit, number: int) -> set[str]:
        """Send the edit to a writer.

        :returns: the name of that writer; empty if none can be reached.
        """
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
        if self._agreement_loop is not None:
            self._agreement_loop.submit(_state_edit(edit, self._cache))

    def _on_forwarded(self, sender: Sender, message: ForwardEdit) -> None:
        edit = edit_from_json(message.edit)
        self._forwarder_addresses.setdefault(edit.edit_id, set()).add(
            sender.address
        )
        if self._agreement.is_writer:
            self._apply(edit)

    def _on_reply(self, _sender: Sender, reply: _EditReply) -> None:
        self._deliver_reply(reply)

    def _deliver_reply(self, reply: _EditReply) -> None:
        event = self._pending.get(reply.edit_id)
        if event is not None and not event.ready():
            event.send(reply)


def _submit_result(
    reply: _EditReply, writers: int
) -> Result[int, EditRefused | OutcomeUnknown]:
    """Return the outcome of an edit that was sent to ``writers`` writers."""
    match reply:
        case EditWasAccepted(config_revision=revision):
            return Ok(revision)
        case EditWasRefused(code=code) if (
            writers > 1 and code in _WRITER_SPECIFIC_CODES
        ):
            # Another writer may still apply it.
            return Err(OutcomeUnknown(reply.edit_id))
        case EditWasRefused():
            return Err(EditRefused(reply.code, reply.message, reply.remedy))


class _DocumentCache:
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


def _state_edit(edit: Edit, cache: _DocumentCache) -> StateEdit:
    def change(state: AgreedState) -> EditResult:
        document = cache.document(state)
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
    """Return a document in the form that the agreed state stores."""
    return ConfigBytes(
        document=msgspec.Raw(document.to_bytes()),
        config_revision=document.config_revision,
    )
