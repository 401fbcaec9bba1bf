"""Interface of the platform's store, as an entry instance needs it."""

from typing import Protocol

from verbenaworks.errors import VerbenaError
from verbenaworks.steering.changes import Change
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.store_item import ItemBatch, StoreItem
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint


class PlatformUnavailableError(VerbenaError):
    """The platform's store did not respond or did not serve the call."""

    code = "platform-unavailable"

    def __init__(self, message: str) -> None:
        super().__init__(message, "the call is retried after a delay")


class RelayUnavailableError(VerbenaError):
    """A relay did not respond, or not with a valid update."""

    code = "relay-unavailable"

    def __init__(self, message: str) -> None:
        super().__init__(
            message, "another relay or the store is asked instead"
        )


class HistoryDiscardedError(VerbenaError):
    """The store has discarded the changes after a revision."""

    code = "history-gone"

    def __init__(self, revision: int) -> None:
        super().__init__(
            f"the changes after revision {revision} were discarded",
            "read all items again",
        )


class LeaseExpiredError(VerbenaError):
    """A lease has expired, and the items that depend on it are gone."""

    code = "lease-ended"

    def __init__(self, lease: int) -> None:
        super().__init__(f"lease {lease} has expired", "register again")


class PlatformClient(Protocol):
    """Client of the platform's store.

    Every method except :meth:`decode_item` raises PlatformUnavailableError if
    the store does not serve the call.
    """

    def snapshot(self) -> ItemBatch:
        """Return all items."""

    def watch(self, revision: int, wait_s: float) -> ItemBatch:
        """Return the changes after a revision.

        :param wait_s: how long the store waits for the first change.
        :raises HistoryDiscardedError: if the store has discarded them.
        """

    def decode_item(self, item: StoreItem) -> Change | None:
        """Decode an item to a change; return None if it is not relevant."""

    def register(self, record: InstanceRecord, ttl_s: float) -> int:
        """Register an instance and return its lease."""

    def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseExpiredError: if it has expired.
        """

    def write_checkpoint(
        self, workspace: str, checkpoint: UsageCheckpoint, lease: int
    ) -> None:
        """Write a workspace's usage checkpoint, which expires with the lease.

        :raises LeaseExpiredError: if it has expired.
        """

    def remove_checkpoint(self, workspace: str) -> None:
        """Remove the usage checkpoint of a workspace."""

    def revoke_lease(self, lease: int) -> None:
        """End a lease and the registration with it."""
