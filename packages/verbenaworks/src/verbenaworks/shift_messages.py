"""Messages about the state of traffic shifts."""

from dataclasses import dataclass

from verbenaworks.wire import wire_message


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class AskShiftNotes:
    """Asks an instance what the shifts that it drives are doing."""


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftNotes:
    """The newest decision about each shift that the sender drives."""

    notes: tuple[str, ...]
