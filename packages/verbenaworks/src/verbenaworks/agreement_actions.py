"""Actions that the agreement returns for the daemon to carry out."""

from dataclasses import dataclass

from verbenaworks.agreed_state import AgreedState
from verbenaworks.agreement_messages import AgreementMessage
from verbenaworks.state_edit import EditOutcome
from verbenaworks.store_requests import StoreRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class SendMessage:
    """Send a message to the instance with this name; it may be lost."""

    to: str
    message: AgreementMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class CallStore:
    """Send a store request; its result goes to ``on_store_result``."""

    request: StoreRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class StateApplied:
    """The instance has applied a newer state."""

    state: AgreedState


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportEdit:
    """Report the outcome of an edit to its operator."""

    outcome: EditOutcome


AgreementAction = SendMessage | CallStore | StateApplied | ReportEdit
