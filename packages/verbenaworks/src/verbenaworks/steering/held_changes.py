"""Changes that a restored copy of the store shows, held back for a while.

A copy lacks what was written after it, until its writers write it again.
Meanwhile, what was in force stays in force.
"""

from dataclasses import dataclass

from verbenaworks.steering.changes import (
    Change,
    DomainEvacuationChanged,
    InstanceRegistered,
    InstanceRemoved,
    UsageCheckpointChanged,
)

# Longer than the operator needs to write again, and shorter than the time
# within which a new evacuation must be in force.
EVACUATION_HOLD_S = 4.0
# Registrations of instances that have ended expire within this time.
REGISTRATION_HOLD_S = 6.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Held:
    change: Change
    due_s: float


class HeldChanges:
    """The changes that are held back, by what they concern."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, str], _Held] = {}

    def hold(self, now_s: float, change: Change) -> None:
        """Hold a change back until it is due or superseded."""
        subject = _subject(change)
        if subject is None or subject in self._held:
            return
        hold_s = (
            EVACUATION_HOLD_S
            if isinstance(change, DomainEvacuationChanged)
            else REGISTRATION_HOLD_S
        )
        self._held[subject] = _Held(change=change, due_s=now_s + hold_s)

    def supersede(self, change: Change) -> None:
        """Drop the held change of what a newer change concerns."""
        subject = _subject(change)
        if subject is not None:
            self._held.pop(subject, None)

    def take_due(self, now_s: float) -> list[Change]:
        """Return the changes that are due, and hold them no longer."""
        due = [s for s, held in self._held.items() if now_s >= held.due_s]
        return [self._held.pop(subject).change for subject in due]

    @property
    def next_due_s(self) -> float | None:
        """Time at which the next change is due; none if none is held."""
        return min((h.due_s for h in self._held.values()), default=None)


def _subject(change: Change) -> tuple[str, str] | None:
    match change:
        case DomainEvacuationChanged(failure_domain=domain):
            return ("evacuation", domain)
        case InstanceRegistered(record=record):
            return ("instance", record.name)
        case InstanceRemoved(name=name):
            return ("instance", name)
        case UsageCheckpointChanged(workspace=workspace):
            return ("checkpoint", workspace)
    return None
