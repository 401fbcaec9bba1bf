"""Executes the actions that the agreement's state machine requests."""

from collections.abc import Callable
from typing import Any

import eventlet
from result import Err, Ok

from verbenad.bus import Bus, Sender
from verbenad.store_client import (
    StoreClient,
    StoreConflictError,
    StoreUnavailableError,
)
from verbenaworks.agreed_state import AgreedState
from verbenaworks.agreement import Agreement
from verbenaworks.agreement_actions import (
    AgreementAction,
    CallStore,
    ReportEdit,
    SendMessage,
    StateApplied,
)
from verbenaworks.agreement_messages import (
    ShardsReleased,
    StateAnswer,
    StatePoll,
    WriterResigned,
)
from verbenaworks.state_edit import EditOutcome, StateEdit
from verbenaworks.store_requests import (
    StoreAbsent,
    StoreConflict,
    StoreGet,
    StoreGetVersion,
    StoreOutcomeUnknown,
    StorePut,
    StorePutApplied,
    StoreRequest,
    StoreResult,
    StoreUnavailable,
    StoreValue,
    StoreVersionFound,
    StoreWatch,
)


class AgreementLoop:
    """Connects an :class:`Agreement` to the bus and the store.

    :param address_of: bus address of an instance by name, None if unknown.
    :param on_state: called with each state that was applied.
    :param on_edit: called with the outcome of each submitted edit.
    """

    def __init__(
        self,
        *,
        agreement: Agreement,
        bus: Bus,
        store: StoreClient,
        now_s: Callable[[], float],
        address_of: Callable[[str], str | None],
        on_state: Callable[[AgreedState], None],
        on_edit: Callable[[EditOutcome], None],
    ) -> None:
        self._agreement = agreement
        self._bus = bus
        self._store = store
        self._now_s = now_s
        self._address_of = address_of
        self._on_state = on_state
        self._on_edit = on_edit
        for message_type in (
            StatePoll,
            StateAnswer,
            WriterResigned,
            ShardsReleased,
        ):
            bus.subscribe(message_type, self._on_message)

    def tick(self) -> None:
        """Do what is due; call it every ``TICK_S`` seconds."""
        self.carry_out(self._agreement.tick(self._now_s()))

    def submit(self, edit: StateEdit) -> None:
        """Submit an edit; its outcome goes to ``on_edit``."""
        self.carry_out(self._agreement.submit(edit, self._now_s()))

    def carry_out(self, actions: list[AgreementAction]) -> None:
        """Carry out actions in order."""
        for action in actions:
            match action:
                case SendMessage(to=name, message=message):
                    address = self._address_of(name)
                    if address is not None:
                        self._bus.send(address, message)
                case CallStore(request=request):
                    eventlet.spawn_n(self._call_store, request)
                case StateApplied(state=state):
                    self._on_state(state)
                case ReportEdit(outcome=outcome):
                    self._on_edit(outcome)

    def _on_message(self, sender: Sender, message: Any) -> None:
        self.carry_out(
            self._agreement.on_message(self._now_s(), sender.name, message)
        )

    def _call_store(self, request: StoreRequest) -> None:
        result = self._store_result(request)
        self.carry_out(
            self._agreement.on_store_result(
                self._now_s(), request.request_id, result
            )
        )

    def _store_result(self, request: StoreRequest) -> StoreResult:
        match request:
            case StoreGet(key=key):
                return self._get(key)
            case StoreGetVersion(key=key):
                return _version_result(self._store.version(key))
            case StoreWatch(key=key, after_version=after, wait_s=wait_s):
                return _version_result(self._store.watch(key, after, wait_s))
            case StorePut():
                return self._put(request)

    def _get(self, key: str) -> StoreResult:
        match self._store.get(key):
            case Ok(found) if found.version:
                return StoreValue(value=found.data, version=found.version)
            case Ok(_):
                return StoreAbsent()
            case _:
                return StoreUnavailable()

    def _put(self, request: StorePut) -> StoreResult:
        result = self._store.put(
            request.key, request.value, request.expected_version
        )
        match result:
            case Ok(version):
                return StorePutApplied(version=version)
            case Err(StoreConflictError()):
                return StoreConflict()
            case Err(StoreUnavailableError()):
                return StoreUnavailable()
            case _:
                return StoreOutcomeUnknown()


def _version_result(result: Any) -> StoreResult:
    match result:
        case Ok(version) if version:
            return StoreVersionFound(version=version)
        case Ok(_):
            return StoreAbsent()
        case _:
            return StoreUnavailable()
