"""Follows the platform's store and keeps this instance registered."""

from collections.abc import Callable
from random import Random

import eventlet
import logbook

from verbenad.steering.platform_port import (
    HistoryGoneError,
    LeaseEndedError,
    PlatformPort,
    PlatformUnavailableError,
)
from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.changes import ChangeBatch
from verbenaworks.steering.instance_record import InstanceRecord

# Changes that come close together are read with one call; this much later
# than the first of them.
GATHER_S = 0.1
# A waiting watch proves that nothing has changed only when it returns.
WATCH_WAIT_S = 1.5
# Pauses between calls to a store that does not answer. The longest one bounds
# how late its return is noticed, and so how long servers are kept that left
# while this instance was cut off.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.4

_log = logbook.Logger("verbenad.platform")


class PlatformLink:
    """Two threads of calls: one watches, one holds the registration.

    :param lease_s: time to live of the registration; longer than the time
        for which an instance without the store accepts keys, so that its
        part of the rates is not given away earlier.
    """

    def __init__(
        self,
        *,
        port: PlatformPort,
        state: SteeringState,
        record: InstanceRecord,
        lease_s: float,
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._port = port
        self._state = state
        self._record = record
        self._lease_s = lease_s
        self._now_s = now_s
        self._random = random
        self._revision: int | None = None
        self._lease: int | None = None
        self._withdrawn = False
        self._reachable = True
        self._pause_s = FIRST_PAUSE_S

    def start(self) -> None:
        """Start both threads."""
        eventlet.spawn_n(self._follow)
        eventlet.spawn_n(self._stay_registered)

    def withdraw(self) -> None:
        """End the registration; callers are no longer sent here."""
        self._withdrawn = True
        lease, self._lease = self._lease, None
        if lease is not None:
            eventlet.spawn_n(self._end_lease, lease)

    def _follow(self) -> None:
        while True:
            started_s = self._now_s()
            try:
                batch = self._next_batch()
            except HistoryGoneError as error:
                _log.warning(str(error))
                self._revision = None
                continue
            except PlatformUnavailableError as error:
                self._lost(error)
                self._pause()
                continue
            except Exception:
                # The thread must go on; what it knows stays in force.
                _log.exception("reading changes failed")
                self._pause()
                continue
            self._took(batch, started_s)
            if batch.changes:
                eventlet.sleep(GATHER_S)

    def _next_batch(self) -> ChangeBatch:
        if self._revision is None:
            return self._port.snapshot()
        return self._port.watch(self._revision, WATCH_WAIT_S)

    def _took(self, batch: ChangeBatch, started_s: float) -> None:
        now_s = self._now_s()
        self._pause_s = FIRST_PAUSE_S
        if not self._reachable:
            self._reachable = True
            _log.info("store reachable again")
            self._state.store_returned()
        self._state.apply(batch)
        self._revision = batch.revision
        proved_s = started_s
        if not batch.changes and now_s - started_s >= WATCH_WAIT_S:
            proved_s += WATCH_WAIT_S
        self._state.confirmation.confirm(proved_s)

    def _lost(self, error: PlatformUnavailableError) -> None:
        if self._reachable:
            self._reachable = False
            _log.warning("store lost", extra={"reason": error.message})

    def _pause(self) -> None:
        # The jitter keeps instances from calling all at once.
        eventlet.sleep(self._pause_s * self._random.uniform(0.5, 1.0))
        self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)

    def _stay_registered(self) -> None:
        while not self._withdrawn:
            try:
                if self._state.config is None:
                    pause_s = FIRST_PAUSE_S
                elif self._lease is None:
                    self._register()
                    pause_s = self._lease_s / 3
                else:
                    self._port.renew(self._lease)
                    pause_s = self._lease_s / 3
            except LeaseEndedError as error:
                _log.warning(str(error))
                self._lease = None
                continue
            except PlatformUnavailableError as error:
                _log.warning(
                    "registration not renewed",
                    extra={"reason": error.message},
                )
                pause_s = self._random.uniform(0.5, 1.0) * LONGEST_PAUSE_S
            except Exception:
                _log.exception("registration failed")
                pause_s = LONGEST_PAUSE_S
            eventlet.sleep(pause_s)

    def _register(self) -> None:
        lease = self._port.register(self._record, self._lease_s)
        if self._withdrawn:
            self._end_lease(lease)
            return
        self._lease = lease
        _log.info("registered", extra={"lease": lease})

    def _end_lease(self, lease: int) -> None:
        try:
            self._port.withdraw(lease)
        except (PlatformUnavailableError, LeaseEndedError) as error:
            _log.warning(
                "registration left to its lease",
                extra={"reason": error.message},
            )
