"""Changes in the platform's store that an instance is notified of."""

from dataclasses import dataclass

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigPublished:
    """The operator published a document.

    :param document: the document as it was written.
    """

    config: SteeringConfig
    document: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class DomainEvacuationChanged:
    """The evacuation of a failure domain started or ended.

    An evacuated failure domain gets no requests.
    """

    failure_domain: str
    evacuated: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReported:
    """A backend server reported its state."""

    server: BackendServer


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerRemoved:
    """The report of a backend server was removed or is unreadable."""

    server_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EraRecorded:
    """An instance with a current configuration recorded the store's era.

    The record has no lease. In a copy it names an older era than the store, as
    long as no instance has confirmed its configuration after the restore.
    """

    era: int


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceRegistered:
    """An instance registered itself."""

    record: InstanceRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceRemoved:
    """The registration of an instance ended."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCheckpointChanged:
    """The usage checkpoint of a workspace was written or removed.

    :param checkpoint: the new checkpoint; none if it was removed.
    """

    workspace: str
    checkpoint: UsageCheckpoint | None


@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadableItem:
    """An item that could not be decoded.

    The last decoded state stays in use, except for a backend server: without
    a readable report, it must not be used.

    :param reason: what is wrong with it.
    :param server_id: the server whose report it is; empty for other items.
    """

    item: str
    reason: str
    server_id: str = ""


Change = (
    ConfigPublished
    | DomainEvacuationChanged
    | EraRecorded
    | ServerReported
    | ServerRemoved
    | InstanceRegistered
    | InstanceRemoved
    | UsageCheckpointChanged
    | UnreadableItem
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeBatch:
    """Changes that were read together from the platform's store.

    :param complete: whether these are all items, so that no other items exist.
    :param restored: whether the store was restored from a copy since the batch
        before.
    :param era: era of the store.
    """

    changes: tuple[Change, ...]
    complete: bool = False
    restored: bool = False
    era: int = 0
