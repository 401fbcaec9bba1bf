"""What the choice of targets uses of the concurrency budgets."""

from typing import Protocol


class UnitPool(Protocol):
    """Units granted to this instance.

    The same protocol is used for slots of targets, by target name, and for
    load of regions, by region name.
    """

    def available(self, target: str) -> int:
        """Return the granted units that are not in use."""

    def take(self, target: str, workspace: str) -> bool:
        """Acquire one unit; false if none is available."""

    def release(self, target: str, workspace: str) -> None:
        """Release one unit that :meth:`take` acquired."""

    def set_demand(self, service: str, workspace: str, amount: int) -> None:
        """Set how many units the workspace can use at this instance.

        For region load, ``service`` is the name of the region. The amount
        replaces the earlier one and includes the units in use.
        """


class UnitShares(Protocol):
    """How the owner divided this instance's units among workspaces.

    The queue of an instance cannot know this: one workspace may have its
    whole share at this instance, because its callers use no other, while
    another workspace has only a part of its share here.
    """

    def share(self, service: str, workspace: str) -> float:
        """Return the units granted to this instance for the workspace."""
