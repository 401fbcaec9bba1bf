"""Follows changes of the platform's store and keeps an instance registered."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

import eventlet
import logbook
from eventlet.event import Event

from verbenad.steering.platform_client import (
    HistoryDiscardedError,
    Lease,
    LeaseExpiredError,
    PlatformClient,
    PlatformUnavailableError,
    RelayUnavailableError,
)
from verbenad.steering.relay_server import RelayServer
from verbenad.steering.steering_state import SteeringState
from verbenad.steering.store_update import StoreUpdate
from verbenad.steering.update_reader import UpdateReader
from verbenaworks.steering.changes import (
    Change,
    ChangeBatch,
    InstanceRegistered,
)
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.item_log import ItemLog
from verbenaworks.steering.store_item import ItemBatch, StorePosition
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint

# Delay before the next read, so that changes which follow shortly after one
# another are read with one call.
UPDATE_BATCH_DELAY_S = 0.1
# Backoff between calls to a store that does not respond. The maximum bounds
# how late its recovery is noticed, and so how long this instance keeps servers
# that left during a network partition.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.4
# Share of the lease time after which the lease is renewed. It leaves time for
# a second renewal if one is lost.
LEASE_RENEWAL_SHARE = 0.45

_log = logbook.Logger("verbenad.platform")


class PlatformSync:
    """Runs two green threads: one reads updates, one renews the lease.

    :param platform: client of the platform's store.
    :param item_log: log to which the items that were read are added.
    :param update_reader: reads updates from the store or from a relay.
    :param relay_server: passes updates on to other instances.
    :param local_instance: record of this instance, which is registered.
    :param lease_s: time to live of the registration. It is longer than the
        time for which an instance without contact to the store accepts keys,
        so that its share of the rates is not reassigned before that.
    :param on_restored: called before a read is applied if the store was
        restored from a copy in the time of some instance.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        item_log: ItemLog,
        update_reader: UpdateReader,
        relay_server: RelayServer,
        state: SteeringState,
        local_instance: InstanceRecord,
        lease_s: float,
        on_restored: Callable[[], None],
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._platform = platform
        self._item_log = item_log
        self._update_reader = update_reader
        self._relay_server = relay_server
        self._state = state
        self._local_instance = local_instance
        self._lease_s = lease_s
        self._on_restored = on_restored
        self._now_s = now_s
        self._random = random
        self._position: StorePosition | None = None
        self._reads_all = True
        self._lease: Lease | None = None
        self._lease_lost = Event()
        self._deregistered = False
        self._store_reachable = True
        self._backoff_s = MIN_BACKOFF_S

    def start(self) -> None:
        """Start both threads."""
        eventlet.spawn_n(self._follow_updates)
        eventlet.spawn_n(self._keep_registered)

    def deregister(self) -> None:
        """End the registration; callers no longer find this instance."""
        self._deregistered = True
        lease, self._lease = self._lease, None
        if lease is not None:
            eventlet.spawn_n(self._revoke_lease, lease)

    def write_checkpoint(
        self, workspace: str, checkpoint: UsageCheckpoint | None
    ) -> None:
        """Write or remove a usage checkpoint.

        After a failure the checkpoint stays due and is written later.
        """
        lease = self._lease
        if lease is None:
            return
        try:
            if checkpoint is not None:
                self._platform.write_checkpoint(workspace, checkpoint, lease)
            else:
                self._platform.remove_checkpoint(workspace)
        except (PlatformUnavailableError, LeaseExpiredError) as error:
            _log.warning(
                "usage checkpoint not written",
                extra={"workspace": workspace, "reason": error.message},
            )

    def _follow_updates(self) -> None:
        while True:
            try:
                age_s = self._state.freshness.age_s(self._now_s())
                update = self._update_reader.read(
                    None if self._reads_all else self._position, age_s
                )
                self._apply_update(update)
            except HistoryDiscardedError as error:
                _log.warning(str(error))
                self._reads_all = True
                # The instances must not all read all items at the same time.
                eventlet.sleep(self._random.uniform(0.0, MIN_BACKOFF_S))
                continue
            except RelayUnavailableError:
                # The reader has logged it and will choose another source.
                eventlet.sleep(MIN_BACKOFF_S)
                continue
            except PlatformUnavailableError as error:
                self._record_store_failure(error)
                self._back_off()
                continue
            except Exception:
                # The thread must not end. The known state stays in use.
                _log.exception("following updates failed")
                self._reads_all = True
                self._back_off()
                continue
            if update.batch.items:
                eventlet.sleep(UPDATE_BATCH_DELAY_S)

    def _apply_update(self, update: StoreUpdate) -> None:
        self._backoff_s = MIN_BACKOFF_S
        if update.store_recovered_at_s is not None:
            self._record_store_recovery(update.store_recovered_at_s)
        elif not self._store_reachable:
            self._store_reachable = True
            _log.info("store reachable again")
            self._record_store_recovery(self._now_s())
        batch = update.batch
        restored = self._is_restored(batch)
        if restored:
            self._record_restore(batch)
        decoded = (self._platform.decode_item(item) for item in batch.items)
        changes = tuple(change for change in decoded if change is not None)
        if restored or self._starts_after_restore(changes, batch.era):
            self._on_restored()
        self._state.apply(
            ChangeBatch(
                changes=changes,
                complete=batch.complete,
                restored=restored,
                era=batch.era,
            )
        )
        self._item_log.apply(self._now_s(), batch)
        self._position = self._item_log.position
        self._reads_all = False
        self._state.freshness.confirm(update.confirmed_at_s)
        if batch.items:
            self._relay_server.notify_waiters()

    def _is_restored(self, batch: ItemBatch) -> bool:
        """Whether the store was restored from a copy since the last update."""
        return self._position is not None and self._position.era != batch.era

    def _starts_after_restore(
        self, changes: Iterable[Change], era: int
    ) -> bool:
        """Whether others, which started before a restore, may know more."""
        if self._position is not None:
            return False
        self._local_instance = replace(self._local_instance, store_era=era)
        return any(
            isinstance(change, InstanceRegistered)
            and change.record.name != self._local_instance.name
            and change.record.store_era < era
            for change in changes
        )

    def _record_restore(self, batch: ItemBatch) -> None:
        _log.warning(
            "store restored from a copy",
            extra={
                "position": str(batch.position),
                "position_before": str(self._position),
            },
        )
        self._record_store_recovery(self._now_s())
        lease = self._lease
        if lease is not None and lease.era != batch.era:
            self._lease = None
            lost, self._lease_lost = self._lease_lost, Event()
            lost.send(None)

    def _record_store_recovery(self, at_s: float) -> None:
        """Record that the store became available again after an outage."""
        self._store_reachable = True
        self._state.record_store_recovery(at_s)
        self._relay_server.record_store_recovery(at_s)

    def _record_store_failure(self, error: PlatformUnavailableError) -> None:
        if self._store_reachable:
            self._store_reachable = False
            _log.warning("store lost", extra={"reason": error.message})

    def _back_off(self) -> None:
        # The jitter keeps the instances from calling at the same time.
        eventlet.sleep(self._backoff_s * self._random.uniform(0.5, 1.0))
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

    def _keep_registered(self) -> None:
        while not self._deregistered:
            try:
                if self._state.config is None:
                    delay_s = MIN_BACKOFF_S
                elif self._lease is None:
                    self._register()
                    delay_s = LEASE_RENEWAL_SHARE * self._lease_s
                else:
                    self._platform.renew_lease(self._lease)
                    delay_s = LEASE_RENEWAL_SHARE * self._lease_s
            except LeaseExpiredError as error:
                _log.warning(str(error))
                self._lease = None
                delay_s = self._random.uniform(0.5, 1.0) * MIN_BACKOFF_S
            except PlatformUnavailableError as error:
                _log.warning(
                    "registration not renewed",
                    extra={"reason": error.message},
                )
                delay_s = self._random.uniform(0.5, 1.0) * MAX_BACKOFF_S
            except Exception:
                _log.exception("registration failed")
                delay_s = MAX_BACKOFF_S
            with eventlet.Timeout(delay_s, False):
                self._lease_lost.wait()

    def _register(self) -> None:
        lease = self._platform.register(self._local_instance, self._lease_s)
        if self._deregistered:
            self._revoke_lease(lease)
            return
        if self._position is not None and lease.era < self._position.era:
            # The store was restored during the call.
            raise LeaseExpiredError(lease)
        self._lease = lease
        _log.info(
            "registered", extra={"lease": lease.lease_id, "era": lease.era}
        )

    def _revoke_lease(self, lease: Lease) -> None:
        try:
            self._platform.revoke_lease(lease)
        except (PlatformUnavailableError, LeaseExpiredError) as error:
            _log.warning(
                "registration not ended; its lease will expire",
                extra={"reason": error.message},
            )
