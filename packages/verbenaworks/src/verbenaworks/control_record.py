"""Who may write the agreed state, and who owns each shard."""

from dataclasses import dataclass

SHARD_COUNT = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceId:
    """One incarnation of an instance; a restart has a higher one."""

    name: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Writer:
    """An instance that may write the agreed state; one per region."""

    instance: InstanceId
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardOwner:
    """The owner of one shard.

    :param handed_over: whether the previous owner had stopped acting before
        this assignment was written, so that the new owner need not wait.
    """

    instance: InstanceId
    epoch: int
    handed_over: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlRecord:
    """Writers and shard owners.

    :param shards: one entry per shard; None before the first assignment.
    :param takeover: the instance that has announced to replace the list of
        writers, unless a writer removes the announcement. Writers do not
        attest while it is set.
    """

    writers: tuple[Writer, ...] = ()
    writers_version: int = 0
    shards: tuple[ShardOwner | None, ...] = (None,) * SHARD_COUNT
    takeover: InstanceId | None = None

    def is_writer(self, instance: InstanceId) -> bool:
        """Return whether this incarnation of an instance may write."""
        return any(writer.instance == instance for writer in self.writers)
