"""Changes that the platform tells an instance of."""

from dataclasses import dataclass

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigPublished:
    """The operator published a document."""

    config: SteeringConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class DomainEvacuationChanged:
    """A failure domain is to get no requests, or gets them again."""

    failure_domain: str
    evacuated: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReported:
    """A backend server reported its state."""

    server: BackendServer


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerRemoved:
    """The report of a backend server is gone or cannot be read."""

    server_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceRegistered:
    """An entry instance registered itself."""

    record: InstanceRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceRemoved:
    """The registration of an entry instance ended."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCheckpointChanged:
    """An instance marked a workspace as near its limit.

    :param checkpoint: what it has used; none if the mark was taken back.
    """

    workspace: str
    checkpoint: UsageCheckpoint | None


@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadableItem:
    """An item could not be decoded.

    What was known before stays, except for a backend server: an entry that
    cannot be read names no server to use.

    :param reason: what is wrong with it.
    :param server_id: the server whose report it is; empty if of none.
    """

    item: str
    reason: str
    server_id: str = ""


Change = (
    ConfigPublished
    | DomainEvacuationChanged
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

    :param complete: whether these are all items, so that what is not named
        does not exist.
    """

    changes: tuple[Change, ...]
    complete: bool = False
