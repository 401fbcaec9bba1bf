"""Interface of the platform's store, as an entry instance needs it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from verbenad.steering.item_page import ItemPage
from verbenaworks.errors import VerbenaError
from verbenaworks.steering.changes import Change
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.store_item import (
    ItemBatch,
    StoreItem,
    StorePosition,
)
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint


class PlatformUnavailableError(VerbenaError):
    """The platform's store did not respond or did not serve the call."""

    code = "platform-unavailable"

    def __init__(
        self, message: str, remedy: str = "the call is retried after a delay"
    ) -> None:
        super().__init__(message, remedy)


class PlatformBusyError(PlatformUnavailableError):
    """The platform's store refused a call over its limit of calls."""

    code = "platform-busy"


class ListingIncompleteError(PlatformUnavailableError):
    """The pages of a listing do not lead to its end.

    What was read is not used: items that are missing would count as removed.

    :param after: key that the last page was to begin after.
    :param reason: what the listing does.
    """

    code = "listing-incomplete"

    def __init__(self, after: str, reason: str) -> None:
        super().__init__(
            f"the listing of the store's items {reason}; its last page was"
            f" to begin after the key {after!r}",
            "look at the items around this key; the listing is repeated",
        )


class RelayUnavailableError(VerbenaError):
    """A relay did not respond, or not with a valid update."""

    code = "relay-unavailable"

    def __init__(self, message: str) -> None:
        super().__init__(
            message, "another relay or the store is asked instead"
        )


class HistoryDiscardedError(VerbenaError):
    """The store does not have the changes after a position.

    It has discarded them, or lost them when it was restored from a copy.
    """

    code = "history-gone"

    def __init__(self, position: StorePosition) -> None:
        super().__init__(
            f"the changes after {position} are gone", "read all items again"
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """A lease of the store.

    :param era: era in which it was granted. In another era its number may be
        the lease of another client.
    """

    lease_id: int
    era: int


class LeaseExpiredError(VerbenaError):
    """A lease has expired or was lost, and its items are gone."""

    code = "lease-ended"

    def __init__(self, lease: Lease) -> None:
        super().__init__(f"{lease} has expired", "register again")


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRegistration:
    """Registration of an instance as the store has it."""

    revision: int
    lease_id: int


class RegistrationConflictError(VerbenaError):
    """The registration was changed since it was read."""

    code = "registration-changed"

    def __init__(self, name: str) -> None:
        super().__init__(
            f"the registration of {name} was changed by another write",
            "read it and write it again",
        )


class PlatformClient(Protocol):
    """Client of the platform's store.

    Every method except :meth:`decode_item` raises PlatformUnavailableError if
    the store does not serve the call.

    :ivar on_call: called with the bytes of the bodies sent and received when
        a call got a response.
    """

    on_call: Callable[[int, int], None] | None

    def read_page(self, after: str) -> ItemPage:
        """Return the items that follow on a key.

        :param after: the key; empty for the first items.
        :raises PlatformBusyError: if the store's limit of calls is reached.
        """

    def watch(self, position: StorePosition, wait_s: float) -> ItemBatch:
        """Return the changes after a position.

        :param wait_s: how long the store waits for the first change.
        :raises HistoryDiscardedError: if the store does not have them.
        """

    def decode_item(self, item: StoreItem) -> Change | None:
        """Decode an item to a change; return None if it is not relevant."""

    def decode_config(self, document: bytes) -> SteeringConfig:
        """Decode the operator's document.

        :raises ValueError: if it is malformed.
        """

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""

    def read_registration(
        self, name: str, *, allow_stale: bool = False
    ) -> StoredRegistration | None:
        """Return an instance's registration; None if there is none.

        :param allow_stale: whether the result may be some seconds old.
        """

    def write_registration(
        self, record: InstanceRecord, lease: Lease, expected_revision: int
    ) -> int:
        """Register an instance and return the revision of the registration.

        :param expected_revision: revision of the registration before; 0 if
            there was none.
        :raises RegistrationConflictError: if it has another revision.
        :raises LeaseExpiredError: if the lease has expired.
        """

    def renew_lease(self, lease: Lease) -> None:
        """Renew a lease.

        :raises LeaseExpiredError: if it has expired.
        """

    def write_checkpoint(
        self, workspace: str, checkpoint: UsageCheckpoint, lease: Lease
    ) -> None:
        """Write a workspace's usage checkpoint, which expires with the lease.

        :raises LeaseExpiredError: if it has expired.
        """

    def remove_checkpoint(self, workspace: str) -> None:
        """Remove the usage checkpoint of a workspace."""

    def record_era(self, lease: Lease) -> None:
        """Record the era of a lease in an item that outlives all leases.

        :raises LeaseExpiredError: if the store is in another era.
        """

    def revoke_lease(self, lease: Lease) -> None:
        """End a lease and the registration with it."""
