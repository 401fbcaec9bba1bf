"""Follows changes of the platform's store."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

import eventlet
import logbook

from verbenad.steering.instance_registration import InstanceRegistration
from verbenad.steering.platform_client import (
    HistoryDiscardedError,
    Lease,
    LeaseExpiredError,
    ListingIncompleteError,
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
    EraRecorded,
    InstanceRegistered,
    InstanceRemoved,
    UnreadableItem,
)
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.item_log import ItemLog
from verbenaworks.steering.store_item import (
    ItemBatch,
    StoreItem,
    StorePosition,
)
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint

# Delay before the next read, so that changes which follow shortly after one
# another are read with one call.
UPDATE_BATCH_DELAY_S = 0.1
# Backoff between calls to a store that does not respond. The maximum bounds
# how late its recovery is noticed, and so how long this instance keeps servers
# that left during a network partition.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.4
# A longer value that cannot be decoded is kept and relayed without content.
MAX_UNREADABLE_BYTES = 4096

_log = logbook.Logger("verbenad.platform")


class PlatformSync:
    """Runs a green thread that reads updates of the store.

    :param platform: client of the platform's store.
    :param item_log: log to which the items that were read are added.
    :param update_reader: reads updates from the store or from a relay.
    :param relay_server: passes updates on to other instances.
    :param local_instance: record of this instance, which is registered.
    :param lease_s: time to live of the registration. It is longer than the
        time for which an instance without contact to the store accepts keys,
        so that its share of the rates is not reassigned before that.
    :param on_registration: called with whether this instance is registered.
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
        on_registration: Callable[[bool], None],
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
        self.registration = InstanceRegistration(
            platform=platform,
            record=lambda: self._local_instance,
            lease_s=lease_s,
            can_register=lambda: state.config is not None,
            store_era=lambda: self._position.era if self._position else None,
            before_write=self._record_first_era,
            on_change=on_registration,
            random=random,
        )
        self._on_restored = on_restored
        self._now_s = now_s
        self._random = random
        self._position: StorePosition | None = None
        # Newest era that an instance has recorded; None if there is no record.
        self._recorded_era: int | None = None
        self._is_recording_era = False
        self._reads_all = True
        self._store_reachable = True
        self._is_listing_incomplete = False
        self._backoff_s = MIN_BACKOFF_S

    def start(self) -> None:
        """Start to follow the store, and register the instance."""
        eventlet.spawn_n(self._follow_updates)
        self.registration.start()

    def write_checkpoint(
        self, workspace: str, checkpoint: UsageCheckpoint | None
    ) -> None:
        """Write or remove a usage checkpoint.

        After a failure the checkpoint stays due and is written later.
        """
        lease = self.registration.lease
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
        self._is_listing_incomplete = False
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
        decoded = [
            (item, change)
            for item in batch.items
            if (change := self._platform.decode_item(item)) is not None
        ]
        changes = tuple(change for _, change in decoded)
        self._read_recorded_era(changes, batch)
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
        self._item_log.apply(self._now_s(), _relayed_batch(batch, decoded))
        self._position = self._item_log.position
        self._reads_all = False
        self._state.freshness.confirm(update.confirmed_at_s)
        self._check_own_registration(batch, decoded)
        self._record_era(batch.era)
        if batch.items:
            self._relay_server.notify_waiters()

    def _check_own_registration(
        self, batch: ItemBatch, decoded: Iterable[tuple[StoreItem, Change]]
    ) -> None:
        name = self._local_instance.name
        is_listed = False
        for item, change in decoded:
            match change:
                case InstanceRemoved(name=removed) if removed == name:
                    self.registration.record_removal(item.revision)
                case InstanceRegistered(record=record):
                    is_listed = is_listed or record.name == name
        if batch.complete and not is_listed:
            self.registration.record_removal(batch.revision)

    def _is_restored(self, batch: ItemBatch) -> bool:
        """Whether the store was restored from a copy since the last update."""
        return self._position is not None and self._position.era != batch.era

    def _starts_after_restore(
        self, changes: Iterable[Change], era: int
    ) -> bool:
        """Whether others, which started before a restore, may know more.

        The leases of a copy may have expired, so that the others are not
        registered before they have noticed the restore. The recorded era has
        no lease and tells that none of them has confirmed the copy yet.
        """
        if self._position is not None:
            return False
        self._local_instance = replace(self._local_instance, store_era=era)
        if self._recorded_era is not None and self._recorded_era < era:
            return True
        return any(
            isinstance(change, InstanceRegistered)
            and change.record.name != self._local_instance.name
            and change.record.store_era < era
            for change in changes
        )

    def _read_recorded_era(
        self, changes: Iterable[Change], batch: ItemBatch
    ) -> None:
        if batch.complete:
            self._recorded_era = None
        for change in changes:
            if isinstance(change, EraRecorded):
                self._recorded_era = change.era

    def _record_first_era(self, lease: Lease) -> None:
        """Record the era in a store that has no record of it.

        Done before the registration is written, so that a copy of the store
        that was made while instances were registered has a record.
        """
        if self._recorded_era is None and not self._state.freshness.is_held:
            self._write_era(lease)

    def _record_era(self, era: int) -> None:
        """Record the era once keys are accepted on the configuration."""
        lease = self.registration.lease
        if (
            lease is None
            or lease.era != era
            or self._state.freshness.is_held
            or self._is_recording_era
            or (self._recorded_era is not None and self._recorded_era >= era)
        ):
            return
        self._is_recording_era = True
        # The store may be slow, and the updates must not wait for it.
        eventlet.spawn_n(self._write_era, lease)

    def _write_era(self, lease: Lease) -> None:
        try:
            self._platform.record_era(lease)
        except (PlatformUnavailableError, LeaseExpiredError) as error:
            # It is written after the next update.
            _log.warning("era not recorded", extra={"reason": error.message})
        finally:
            self._is_recording_era = False

    def _record_restore(self, batch: ItemBatch) -> None:
        _log.warning(
            "store restored from a copy",
            extra={
                "position": str(batch.position),
                "position_before": str(self._position),
            },
        )
        self._record_store_recovery(self._now_s())
        self.registration.record_restore(batch.era)

    def _record_store_recovery(self, at_s: float) -> None:
        """Record that the store became available again after an outage."""
        self._store_reachable = True
        self._state.record_store_recovery(at_s)
        self._relay_server.record_store_recovery(at_s)

    def _record_store_failure(self, error: PlatformUnavailableError) -> None:
        is_listing = isinstance(error, ListingIncompleteError)
        if is_listing and not self._is_listing_incomplete:
            _log.error("listing incomplete", extra={"reason": str(error)})
        elif self._store_reachable and not is_listing:
            _log.warning("store lost", extra={"reason": error.message})
        self._is_listing_incomplete = is_listing
        self._store_reachable = self._store_reachable and is_listing

    def _back_off(self) -> None:
        # The jitter keeps the instances from calling at the same time.
        eventlet.sleep(self._backoff_s * self._random.uniform(0.5, 1.0))
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)


def _relayed_batch(
    batch: ItemBatch, decoded: Iterable[tuple[StoreItem, Change]]
) -> ItemBatch:
    """Return what is kept of a batch for relaying.

    Items that no instance uses, and the content of large unreadable ones,
    could make an update larger than other instances accept.
    """
    items = tuple(
        StoreItem(key=item.key, value=b"", revision=item.revision)
        if isinstance(change, UnreadableItem)
        and len(item.value or b"") > MAX_UNREADABLE_BYTES
        else item
        for item, change in decoded
    )
    return replace(batch, items=items)
