"""Follows the platform's store and keeps this instance registered."""

from collections.abc import Callable
from random import Random

import eventlet
import logbook

from verbenad.steering.news import News
from verbenad.steering.news_sources import NewsSources
from verbenad.steering.platform_port import (
    HistoryGoneError,
    LeaseEndedError,
    PlatformPort,
    PlatformUnavailableError,
    RelayUnavailableError,
)
from verbenad.steering.relay_server import RelayServer
from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.changes import ChangeBatch
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.item_log import ItemLog
from verbenaworks.steering.usage_checkpoint import UsageCheckpoint

# Changes that come close together are read with one call; this much later
# than the first of them.
GATHER_S = 0.1
# Pauses between calls to a store that does not answer. The longest one bounds
# how late its return is noticed, and so how long servers are kept that left
# while this instance was cut off.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.4
# Part of the lease after which it is renewed: one renewal may be lost.
RENEW_SHARE = 0.45

_log = logbook.Logger("verbenad.platform")


class PlatformLink:
    """Two threads of calls: one reads news, one holds the registration.

    :param log: takes the items that were read.
    :param sources: where news is read.
    :param relay: passes the news on.
    :param lease_s: time to live of the registration; longer than the time
        for which an instance without the store accepts keys, so that its
        part of the rates is not given away earlier.
    """

    def __init__(
        self,
        *,
        port: PlatformPort,
        log: ItemLog,
        sources: NewsSources,
        relay: RelayServer,
        state: SteeringState,
        record: InstanceRecord,
        lease_s: float,
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._port = port
        self._items = log
        self._sources = sources
        self._relay = relay
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

    def write_checkpoint(
        self, workspace: str, mark: UsageCheckpoint | None
    ) -> None:
        """Write a mark or take it back; one that fails is due again."""
        lease = self._lease
        if lease is None:
            return
        try:
            if mark is not None:
                self._port.write_checkpoint(workspace, mark, lease)
            else:
                self._port.remove_checkpoint(workspace)
        except (PlatformUnavailableError, LeaseEndedError) as error:
            _log.warning(
                "mark not written",
                extra={"workspace": workspace, "reason": error.message},
            )

    def _follow(self) -> None:
        while True:
            try:
                age_s = self._state.confirmation.age_s(self._now_s())
                news = self._sources.read(self._revision, age_s)
            except HistoryGoneError as error:
                _log.warning(str(error))
                self._revision = None
                continue
            except RelayUnavailableError:
                # The sources have logged it, and choose another one.
                eventlet.sleep(FIRST_PAUSE_S)
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
            self._took(news)
            if news.batch.items:
                eventlet.sleep(GATHER_S)

    def _took(self, news: News) -> None:
        self._pause_s = FIRST_PAUSE_S
        if news.back_at_s is not None:
            self._returned(news.back_at_s)
        elif not self._reachable:
            self._reachable = True
            _log.info("store reachable again")
            self._returned(self._now_s())
        batch = news.batch
        changes = (self._port.decode(item) for item in batch.items)
        self._state.apply(
            ChangeBatch(
                changes=tuple(c for c in changes if c is not None),
                complete=batch.complete,
            )
        )
        self._revision = max(self._revision or 0, batch.revision)
        self._items.apply(self._now_s(), batch)
        self._state.confirmation.confirm(news.proved_s)
        if batch.items:
            self._relay.publish()

    def _returned(self, at_s: float) -> None:
        """Enter that the store came back after an outage."""
        self._reachable = True
        self._state.store_returned(at_s)
        self._relay.store_returned(at_s)

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
                    pause_s = RENEW_SHARE * self._lease_s
                else:
                    self._port.renew(self._lease)
                    pause_s = RENEW_SHARE * self._lease_s
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
