"""Applies changes from the platform's store to the state of an instance."""

from collections.abc import Callable, Iterable

import logbook

from verbenaworks.steering.changes import (
    Change,
    ChangeBatch,
    ConfigPublished,
    DomainEvacuationChanged,
    InstanceRegistered,
    InstanceRemoved,
    ServerRemoved,
    ServerReported,
    UnreadableItem,
    UsageCheckpointChanged,
)
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.held_changes import (
    EVACUATION_HOLD_S,
    HeldChanges,
)
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint

_log = logbook.Logger("verbenad.state")


class SteeringState:
    """Configuration, servers and instances that this instance knows.

    :param on_config: called with each newer configuration.
    :param on_registrations: called after the registered instances changed.
    :param on_previous_incarnation: called with the current time when the
        registration of a previous incarnation of this instance is found. That
        incarnation ended so recently that its lease has not expired.
    :param on_checkpoint: called with the current time, a workspace, and its
        usage checkpoint, or None if the checkpoint was removed.
    :param local_instance: record of this instance.
    :param call_later: calls a function once after a delay in seconds.
    """

    def __init__(
        self,
        *,
        table: ServerTable,
        directory: InstanceDirectory,
        freshness: ConfigFreshness,
        now_s: Callable[[], float],
        on_config: Callable[[SteeringConfig], None],
        on_registrations: Callable[[], None],
        on_previous_incarnation: Callable[[float], None],
        on_checkpoint: Callable[[float, str, UsageCheckpoint | None], None],
        local_instance: InstanceRecord,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self.table = table
        self.directory = directory
        self.freshness = freshness
        self.config: SteeringConfig | None = None
        self.document = b""
        self._now_s = now_s
        self._on_config = on_config
        self._on_registrations = on_registrations
        self._on_previous_incarnation = on_previous_incarnation
        self._on_checkpoint = on_checkpoint
        self._local_instance = local_instance
        self._call_later = call_later
        self._scheduled_expiry_s: float | None = None
        self._held = HeldChanges()
        self._copy_until_s = float("-inf")

    def record_store_recovery(self, at_s: float) -> None:
        """Record when the store became available again after an outage."""
        self.table.record_store_recovery(at_s)
        self.directory.record_store_recovery(at_s)

    def apply(self, batch: ChangeBatch) -> None:
        """Apply changes that were read from the store."""
        names = self.directory.names
        now_s = self._now_s()
        if batch.restored:
            self._copy_until_s = now_s + EVACUATION_HOLD_S
        # A complete read does not tell what was written after the restore.
        is_copy = batch.complete and now_s < self._copy_until_s
        for change in batch.changes:
            if is_copy and self._must_hold(change, batch.era):
                self._hold(now_s, change)
                continue
            self._held.supersede(change)
            self._apply_change(change)
        if batch.complete:
            self._remove_unlisted(batch.changes, is_copy=is_copy)
        if self.directory.names != names:
            self._on_registrations()
        self._schedule_expiry()

    def _must_hold(self, change: Change, batch_era: int) -> bool:
        """Whether a change in a copy may be older than what is in force.

        Configurations and reports of servers tell which one is newer.
        """
        match change:
            case DomainEvacuationChanged(failure_domain=domain):
                return domain not in self.table.evacuated
            case InstanceRegistered(record=record):
                # A process that started after the restore is no old one.
                return (
                    record.store_era < batch_era
                    and self.directory.peer(record.name) != record
                )
            case UsageCheckpointChanged():
                return True
        return False

    def _hold(self, now_s: float, change: Change) -> None:
        self._held.hold(now_s, change)
        _log.info(
            "change in a restored copy held back",
            extra={"change": type(change).__name__},
        )

    def _schedule_expiry(self) -> None:
        """Schedule the removal of the entries that expire next."""
        expiries_s = [
            self.table.next_expiry_s,
            self.directory.next_expiry_s,
            self._held.next_due_s,
        ]
        next_expiry_s = min(
            (d for d in expiries_s if d is not None), default=None
        )
        if next_expiry_s is None or self._scheduled_expiry_s == next_expiry_s:
            return
        self._scheduled_expiry_s = next_expiry_s
        self._call_later(max(0.0, next_expiry_s - self._now_s()), self._expire)

    def _expire(self) -> None:
        self._scheduled_expiry_s = None
        now_s = self._now_s()
        names = self.directory.names
        for change in self._held.take_due(now_s):
            self._apply_change(change)
        self.table.expire(now_s)
        self.directory.expire(now_s)
        if self.directory.names != names:
            self._on_registrations()
        self._schedule_expiry()

    def _apply_change(self, change: Change) -> None:
        now_s = self._now_s()
        match change:
            case ConfigPublished(config=config, document=document):
                self.apply_config(config, document)
            case ServerReported(server=server):
                accepted = self.table.report(now_s, server)
                _log.info(
                    "backend server reported",
                    extra={
                        "server": server.server_id,
                        "service": server.service,
                        "failure_domain": server.failure_domain,
                        "draining": server.draining,
                        "cold_left_s": server.cold_left_s,
                        "taken": accepted,
                    },
                )
            case ServerRemoved(server_id=server_id):
                self.table.remove(now_s, server_id)
                _log.info(
                    "backend server removed", extra={"server": server_id}
                )
            case DomainEvacuationChanged(
                failure_domain=domain, evacuated=evacuated
            ):
                self.table.set_evacuated(domain, evacuated)
                _log.info(
                    "failure domain evacuated"
                    if evacuated
                    else "evacuation of failure domain ended",
                    extra={"failure_domain": domain},
                )
            case InstanceRegistered(record=record):
                if (
                    record.name == self._local_instance.name
                    and record.incarnation != self._local_instance.incarnation
                ):
                    self._on_previous_incarnation(now_s)
                self.directory.register(record)
            case InstanceRemoved(name=name):
                self.directory.remove(now_s, name)
            case UsageCheckpointChanged(
                workspace=workspace, checkpoint=checkpoint
            ):
                self._on_checkpoint(now_s, workspace, checkpoint)
            case UnreadableItem(item=item, reason=reason, server_id=server_id):
                _log.warning(
                    "unreadable item ignored",
                    extra={"item": item, "reason": reason},
                )
                if server_id:
                    self.table.remove(now_s, server_id)

    def apply_config(self, config: SteeringConfig, document: bytes) -> None:
        """Put a configuration in force, unless it is older.

        :param document: the operator's document that it was decoded from.
        """
        current = self.config
        if current is not None and config.version <= current.version:
            return
        self.config = config
        self.document = document
        _log.info(
            "configuration in force",
            extra={
                "version": config.version,
                "before": current.version if current else None,
                "routes": len(config.routes),
            },
        )
        self._on_config(config)

    def _remove_unlisted(
        self, changes: Iterable[Change], *, is_copy: bool
    ) -> None:
        now_s = self._now_s()
        servers, instances, domains = set(), set(), set()
        for change in changes:
            match change:
                case ServerReported(server=server):
                    servers.add(server.server_id)
                case InstanceRegistered(record=record):
                    instances.add(record.name)
                case DomainEvacuationChanged(failure_domain=domain):
                    domains.add(domain)
        self.table.remove_unlisted(now_s, servers)
        self.directory.remove_unlisted(now_s, instances)
        for domain in self.table.evacuated - domains:
            ended = DomainEvacuationChanged(
                failure_domain=domain, evacuated=False
            )
            if is_copy:
                self._hold(now_s, ended)
            else:
                self._held.supersede(ended)
                self._apply_change(ended)
