"""What the choice needs from the level budgets."""

from typing import Protocol


class UnitPool(Protocol):
    """Units granted to this instance.

    The same protocol serves for target slots, keyed by the target's name,
    and for region load, keyed by the region's name.
    """

    def available(self, target: str) -> int:
        """Return the granted units that are not in use."""

    def take(self, target: str, workspace: str) -> bool:
        """Put one unit in use; false if none is available."""

    def release(self, target: str, workspace: str) -> None:
        """Return one unit that :meth:`take` put in use."""

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """State how many units the workspace can use at this instance.

        For region load, ``service`` is the name of the region. The amount
        replaces the earlier one and includes the units in use.
        """


class UnitShares(Protocol):
    """How the owner divided this instance's units over workspaces.

    The queue inside an instance cannot know this by itself: a workspace
    whose callers all use one instance has its whole share there, while
    another has only a part of its share at the same instance.
    """

    def share(self, service: str, workspace: str) -> float:
        """Return the units that were granted here for the workspace."""
