"""Keeps an instance registered in the platform's store."""

from collections.abc import Callable
from random import Random

import eventlet
import logbook
from eventlet.event import Event

from verbenad.steering.platform_client import (
    Lease,
    LeaseExpiredError,
    PlatformClient,
    PlatformUnavailableError,
    RegistrationConflictError,
)
from verbenaworks.steering.instance_record import InstanceRecord

# Delays before a failed call is repeated.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.4
# Share of the lease time after which the lease is renewed. It leaves time for
# a second renewal if one is lost.
LEASE_RENEWAL_SHARE = 0.45
# The registration is read once in this many renewals, because a watch may miss
# that it was removed.
VERIFICATION_INTERVAL = 2

_log = logbook.Logger("verbenad.platform")


class InstanceRegistration:
    """Runs a green thread that registers the instance and renews its lease.

    A renewed lease does not prove that the registration is there: a write that
    the store does late may have moved it to another lease, or another writer
    may have removed it. It is written only on the condition that it is as it
    was read, so that a late write cannot replace a newer one.

    :param record: returns the record to register.
    :param lease_s: time to live of the registration.
    :param can_register: returns whether the instance can serve.
    :param store_era: returns the known era of the store; None at the start.
    :param before_write: called with the lease before the registration is
        written.
    :param on_change: called with whether the instance is registered.
    """

    def __init__(
        self,
        *,
        platform: PlatformClient,
        record: Callable[[], InstanceRecord],
        lease_s: float,
        can_register: Callable[[], bool],
        store_era: Callable[[], int | None],
        before_write: Callable[[Lease], None],
        on_change: Callable[[bool], None],
        random: Random,
    ) -> None:
        self._platform = platform
        self._record = record
        self._lease_s = lease_s
        self._can_register = can_register
        self._store_era = store_era
        self._before_write = before_write
        self._on_change = on_change
        self._random = random
        self._lease: Lease | None = None
        # Revision of the registration; None while there is none for certain.
        self._revision: int | None = None
        self._renewals = 0
        self._wake_event = Event()
        self._deregistered = False

    @property
    def lease(self) -> Lease | None:
        """Lease of the registration; None while it is not registered."""
        return self._lease if self.is_registered else None

    @property
    def is_registered(self) -> bool:
        """Whether the registration is there, as far as is known."""
        return self._revision is not None

    def start(self) -> None:
        """Start the green thread."""
        eventlet.spawn_n(self._run)

    def deregister(self) -> None:
        """End the registration; callers no longer find this instance."""
        self._deregistered = True
        lease, self._lease = self._lease, None
        self._revision = None
        if lease is not None:
            eventlet.spawn_n(self._revoke_lease, lease)

    def record_restore(self, era: int) -> None:
        """Record that the store was restored from a copy, in a new era."""
        lease = self._lease
        if lease is not None and lease.era != era:
            self._lease = None
            self._lose("the store was restored from a copy")

    def record_removal(self, revision: int) -> None:
        """Record that the registration was missing at a revision."""
        if self._revision is not None and revision > self._revision:
            self._lose("it was removed from the store")

    def _lose(self, reason: str) -> None:
        """Register again at once; does nothing after a deregistration."""
        if self._deregistered:
            return
        if self._revision is not None:
            self._revision = None
            _log.warning("registration lost", extra={"reason": reason})
            self._on_change(False)
        wake_event, self._wake_event = self._wake_event, Event()
        wake_event.send(None)

    def _run(self) -> None:
        while not self._deregistered:
            wake_event = self._wake_event
            delay_s = self._step()
            with eventlet.Timeout(delay_s, False):
                wake_event.wait()
            if wake_event.ready():
                # The instances must not all write at the same time.
                eventlet.sleep(self._random.uniform(0.0, MIN_RETRY_DELAY_S))

    def _step(self) -> float:
        """Make the calls that are due; return the delay until the next."""
        renewal_s = LEASE_RENEWAL_SHARE * self._lease_s
        try:
            if not self._can_register():
                return MIN_RETRY_DELAY_S
            if self._revision is None:
                self._register()
            else:
                self._renew()
            return renewal_s
        except LeaseExpiredError as error:
            self._lease = None
            self._lose(error.message)
            return self._random.uniform(0.5, 1.0) * MIN_RETRY_DELAY_S
        except RegistrationConflictError as error:
            _log.warning(str(error))
            return self._random.uniform(0.5, 1.0) * MIN_RETRY_DELAY_S
        except PlatformUnavailableError as error:
            _log.warning(
                "registration not renewed", extra={"reason": error.message}
            )
            return self._random.uniform(0.5, 1.0) * MAX_RETRY_DELAY_S
        except Exception:
            _log.exception("registration failed")
            return MAX_RETRY_DELAY_S

    def _register(self) -> None:
        record = self._record()
        lease = self._lease
        if lease is None:
            lease = self._lease = self._platform.grant_lease(self._lease_s)
        stored = self._platform.read_registration(record.name)
        if stored is not None and stored.lease_id == lease.lease_id:
            # An earlier write was done although it got no response.
            revision = stored.revision
        else:
            self._before_write(lease)
            revision = self._platform.write_registration(
                record, lease, stored.revision if stored else 0
            )
        if self._deregistered:
            self._revoke_lease(lease)
            return
        era = self._store_era()
        if lease is not self._lease or (era is not None and lease.era < era):
            # The store was restored during the calls.
            raise LeaseExpiredError(lease)
        self._revision = revision
        self._renewals = 0
        _log.info(
            "registered",
            extra={
                "lease": lease.lease_id,
                "era": lease.era,
                "revision": revision,
            },
        )
        self._on_change(True)

    def _renew(self) -> None:
        lease = self._lease
        assert lease is not None, "a registration has a lease"
        self._platform.renew_lease(lease)
        self._renewals += 1
        if self._renewals % VERIFICATION_INTERVAL == 0:
            self._verify(lease)

    def _verify(self, lease: Lease) -> None:
        """Check that the registration is there with the renewed lease.

        A stale read is cheap. What it says is checked before it is believed.
        """
        name = self._record().name
        for allow_stale in (True, False):
            stored = self._platform.read_registration(
                name, allow_stale=allow_stale
            )
            if stored is not None and stored.lease_id == lease.lease_id:
                return
        self._lose(
            "the store does not have it"
            if stored is None
            else "it belongs to another lease"
        )

    def _revoke_lease(self, lease: Lease) -> None:
        try:
            self._platform.revoke_lease(lease)
        except (PlatformUnavailableError, LeaseExpiredError) as error:
            _log.warning(
                "registration not ended; its lease will expire",
                extra={"reason": error.message},
            )
