"""Outcome of an edit that was sent to several writers."""

from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Ok

import verbenad.edit_port as edit_port
from verbenad.bus import Sender
from verbenad.edit_port import EditPort, EditWasAccepted, EditWasRefused
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Edit
from verbenaworks.errors import EditRefused, OutcomeUnknown


class _Agreement:
    def writers_for_edit(self) -> tuple[str, ...]:
        return ("w1", "w2")


class _Bus:
    """Calls ``on_send`` for each message to a writer."""

    name = "e1"

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[Sender, Any], None]] = {}
        self.sent: list[str] = []
        self.on_send: Callable[[str], None] = lambda address: None

    def subscribe(
        self, message_type: type, handler: Callable[[Sender, Any], None]
    ) -> None:
        self.handlers[message_type] = handler

    def send(self, address: str, message: object) -> None:
        self.sent.append(address)
        self.on_send(address)

    def deliver(self, message: object) -> None:
        sender = Sender(name="w", address="w")
        self.handlers[type(message)](sender, message)


@pytest.fixture
def bus(monkeypatch: pytest.MonkeyPatch) -> _Bus:
    """Return a bus, with a short interval between resends."""
    monkeypatch.setattr(edit_port, "RESEND_INTERVAL_S", 0.001)
    return _Bus()


def _submit(bus: _Bus) -> object:
    port = EditPort(
        agreement=_Agreement(),  # type: ignore[arg-type]
        bus=bus,  # type: ignore[arg-type]
        now_s=lambda: 0.0,
        address_of=lambda name: name,
        document=ConfigDocument,
        status=list,
    )
    edit = Edit(edit_id="x", operator="o", read_revision=0, changes=())
    return port.submit(edit)


def _refuse(code: str) -> EditWasRefused:
    return EditWasRefused(edit_id="x", code=code, message="m", remedy="r")


def test_refusal_by_one_of_two_writers_is_not_final(bus: _Bus) -> None:
    """Guards against "refused" for an edit that another writer applies.

    With the store down, `verbena key withdraw` reported a refusal, and the
    key was withdrawn when the store had recovered.
    """

    def on_send(address: str) -> None:
        if address == "w2":
            bus.deliver(_refuse("store-unavailable"))

    bus.on_send = on_send
    match _submit(bus):
        case Err(OutcomeUnknown()):
            pass
        case other:
            pytest.fail(f"unexpected {other}")
    assert bus.sent[0] == "w1"


def test_refusal_by_the_only_writer_asked_is_final(bus: _Bus) -> None:
    """Guards against "unknown" where the outcome is known."""
    bus.on_send = lambda address: bus.deliver(_refuse("store-unavailable"))
    match _submit(bus):
        case Err(EditRefused()):
            pass
        case other:
            pytest.fail(f"unexpected {other}")


def test_refusal_of_the_content_is_final_for_all(bus: _Bus) -> None:
    """Guards against retries of an edit that no writer accepts."""

    def on_send(address: str) -> None:
        if address == "w2":
            bus.deliver(_refuse("concurrent-edit"))

    bus.on_send = on_send
    match _submit(bus):
        case Err(EditRefused(code="concurrent-edit")):
            pass
        case other:
            pytest.fail(f"unexpected {other}")


def test_acceptance_by_any_writer_counts(bus: _Bus) -> None:
    """Guards against losing the outcome of an edit that took effect."""
    accepted = EditWasAccepted(edit_id="x", config_revision=7)
    bus.on_send = lambda address: bus.deliver(accepted)
    assert _submit(bus) == Ok(7)
