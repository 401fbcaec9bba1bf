"""What the daemon carries out for the agreement."""

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
    """Carry out a store request and pass its result back."""

    request: StoreRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class StateApplied:
    """The instance has applied a newer state."""

    state: AgreedState


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportEdit:
    """Tell the operator the outcome of an edit."""

    outcome: EditOutcome


AgreementAction = SendMessage | CallStore | StateApplied | ReportEdit
