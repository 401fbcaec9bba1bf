"""What an entry instance needs of the platform on which it runs."""

from typing import Protocol

from verbenaworks.errors import VerbenaError
from verbenaworks.steering.changes import Change
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.store_item import ItemBatch, StoreItem
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint


class PlatformUnavailableError(VerbenaError):
    """The platform's store did not answer or did not serve the call."""

    code = "platform-unavailable"

    def __init__(self, message: str) -> None:
        super().__init__(message, "the call is repeated after a pause")


class RelayUnavailableError(VerbenaError):
    """An instance that passes the store's news on did not answer."""

    code = "relay-unavailable"

    def __init__(self, message: str) -> None:
        super().__init__(message, "another relay or the store is asked")


class HistoryGoneError(VerbenaError):
    """The store no longer has the changes after a revision."""

    code = "history-gone"

    def __init__(self, revision: int) -> None:
        super().__init__(
            f"the changes after revision {revision} were discarded",
            "read all items again",
        )


class LeaseEndedError(VerbenaError):
    """A lease has ended, and its registration with it."""

    code = "lease-ended"

    def __init__(self, lease: int) -> None:
        super().__init__(f"lease {lease} has ended", "register again")


class PlatformPort(Protocol):
    """Calls to the platform; they raise PlatformUnavailableError."""

    def snapshot(self) -> ItemBatch:
        """Return all items."""

    def watch(self, revision: int, wait_s: float) -> ItemBatch:
        """Return the changes after a revision, waiting for the first.

        :raises HistoryGoneError: if they were discarded.
        """

    def decode(self, item: StoreItem) -> Change | None:
        """Return what an item means; none if it means nothing here."""

    def register(self, record: InstanceRecord, ttl_s: float) -> int:
        """Register an instance and return its lease."""

    def renew(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseEndedError: if it has ended.
        """

    def write_checkpoint(
        self, workspace: str, mark: UsageCheckpoint, lease: int
    ) -> None:
        """Write the mark of a workspace, which lasts until the lease ends.

        :raises LeaseEndedError: if it has ended.
        """

    def remove_checkpoint(self, workspace: str) -> None:
        """Take the mark of a workspace back."""

    def withdraw(self, lease: int) -> None:
        """End a lease and the registration with it."""
