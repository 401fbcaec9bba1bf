"""What an instance knows, and how changes of the platform become known."""

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
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint

_log = logbook.Logger("verbenad.state")


class SteeringState:
    """Configuration, servers and instances in force at this instance.

    :param on_config: called with each newer configuration.
    :param on_members: called when the registered instances changed.
    :param on_predecessor: called with the time when the registration of an
        earlier run under this instance's name is found; it has ended so
        recently that its lease still lasts.
    :param on_mark: called with the time, a workspace, and its mark.
    :param own: this instance.
    :param after: calls a function once, after a time in seconds.
    """

    def __init__(
        self,
        *,
        table: ServerTable,
        directory: InstanceDirectory,
        confirmation: ConfigFreshness,
        now_s: Callable[[], float],
        on_config: Callable[[SteeringConfig], None],
        on_members: Callable[[], None],
        on_predecessor: Callable[[float], None],
        on_mark: Callable[[float, str, UsageCheckpoint | None], None],
        own: InstanceRecord,
        after: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self.table = table
        self.directory = directory
        self.confirmation = confirmation
        self.config: SteeringConfig | None = None
        self._now_s = now_s
        self._on_config = on_config
        self._on_members = on_members
        self._on_predecessor = on_predecessor
        self._on_mark = on_mark
        self._own = own
        self._after = after
        self._expiry_s: float | None = None

    def store_returned(self, at_s: float) -> None:
        """Enter when the store answered again after an outage."""
        self.table.record_store_recovery(at_s)
        self.directory.record_store_recovery(at_s)

    def apply(self, batch: ChangeBatch) -> None:
        """Take changes of the platform."""
        names = self.directory.names
        for change in batch.changes:
            self._apply(change)
        if batch.complete:
            self._keep_only(batch.changes)
        if self.directory.names != names:
            self._on_members()
        self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        """See to it that what lapses later is dropped then."""
        dues_s = [self.table.next_expiry_s, self.directory.next_expiry_s]
        due_s = min((d for d in dues_s if d is not None), default=None)
        if due_s is None or self._expiry_s == due_s:
            return
        self._expiry_s = due_s
        self._after(max(0.0, due_s - self._now_s()), self._expire)

    def _expire(self) -> None:
        self._expiry_s = None
        now_s = self._now_s()
        names = self.directory.names
        self.table.expire(now_s)
        self.directory.expire(now_s)
        if self.directory.names != names:
            self._on_members()
        self._schedule_expiry()

    def _apply(self, change: Change) -> None:
        now_s = self._now_s()
        match change:
            case ConfigPublished(config=config):
                self._publish(config)
            case ServerReported(server=server):
                taken = self.table.report(now_s, server)
                _log.info(
                    "backend server reported",
                    extra={
                        "server": server.server_id,
                        "service": server.service,
                        "draining": server.draining,
                        "cold_left_s": server.cold_left_s,
                        "taken": taken,
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
                    else "failure domain back",
                    extra={"failure_domain": domain},
                )
            case InstanceRegistered(record=record):
                if (
                    record.name == self._own.name
                    and record.incarnation != self._own.incarnation
                ):
                    self._on_predecessor(now_s)
                self.directory.register(record)
            case InstanceRemoved(name=name):
                self.directory.remove(now_s, name)
            case UsageCheckpointChanged(workspace=workspace, checkpoint=mark):
                self._on_mark(now_s, workspace, mark)
            case UnreadableItem(item=item, reason=reason, server_id=server_id):
                _log.warning(
                    "item ignored", extra={"item": item, "reason": reason}
                )
                if server_id:
                    self.table.remove(now_s, server_id)

    def _publish(self, config: SteeringConfig) -> None:
        held = self.config
        if held is not None and config.version <= held.version:
            return
        self.config = config
        _log.info(
            "configuration in force",
            extra={
                "version": config.version,
                "before": held.version if held else None,
                "routes": len(config.routes),
            },
        )
        self._on_config(config)

    def _keep_only(self, changes: Iterable[Change]) -> None:
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
            self.table.set_evacuated(domain, False)
