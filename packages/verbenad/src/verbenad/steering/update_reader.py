"""Reads updates of the store, from the store itself or from a relay."""

from collections.abc import Callable, Iterable
from random import Random

import logbook

from verbenad.steering.item_listing import ItemListing
from verbenad.steering.platform_client import (
    PlatformClient,
    PlatformUnavailableError,
    RelayUnavailableError,
)
from verbenad.steering.relay_client import RelayClient
from verbenad.steering.store_update import StoreUpdate
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.relay_choice import choose_relays, relay_order
from verbenaworks.steering.store_item import StorePosition

# A watch confirms that nothing has changed only when it returns. If the last
# one returned early, its confirmation is already old, so the next one waits
# for less time, down to the minimum.
MAX_WATCH_WAIT_S = 1.5
MIN_WATCH_WAIT_S = 0.3
RELAY_WATCH_WAIT_S = 1.0
# A relay with an older confirmation has lost the store. The relay's own watch,
# the wait at the relay and the transfer together take less than this.
MAX_RELAY_CONFIRMATION_AGE_S = MAX_WATCH_WAIT_S + 0.5
# Delay before a failed relay is asked again.
RELAY_RETRY_DELAY_S = 3.0
# Shortest and longest delay after which an instance that can ask relays tries
# a failed store again.
STORE_RETRY_DELAY_RANGE_S = (1.0, 2.0)

_log = logbook.Logger("verbenad.platform")


class UpdateReader:
    """Reads from one source at a time: the store or a relay.

    :param local_instance: record of this instance.
    :param platform: client of the platform's store.
    :param on_relay_call: called with the relay and the bytes of each response.
    """

    def __init__(
        self,
        *,
        local_instance: InstanceRecord,
        platform: PlatformClient,
        now_s: Callable[[], float],
        random: Random,
        on_relay_call: Callable[[InstanceRecord, int], None] | None = None,
    ) -> None:
        self._local_instance = local_instance
        self._platform = platform
        self._now_s = now_s
        self._random = random
        self._on_relay_call = on_relay_call
        self._relays: list[InstanceRecord] = []
        self._relay_retry_at_s: dict[str, float] = {}
        self._store_retry_at_s = float("-inf")
        self._client: RelayClient | None = None

    def set_instances(self, others: Iterable[InstanceRecord]) -> None:
        """Replace the registered instances other than this one."""
        relays = choose_relays([*others, self._local_instance])
        if any(relay.name == self._local_instance.name for relay in relays):
            relays = []
        self._relays = relay_order(self._local_instance, relays)
        names = {relay.name for relay in self._relays}
        for name in [n for n in self._relay_retry_at_s if n not in names]:
            del self._relay_retry_at_s[name]

    @property
    def has_relays(self) -> bool:
        """Whether other instances watch the store for this one."""
        return bool(self._relays)

    def read(
        self, position: StorePosition | None, confirmation_age_s: float
    ) -> StoreUpdate:
        """Return the next update.

        :param position: position up to which items are known; None to read
            all items.
        :param confirmation_age_s: age of the last confirmation that nothing
            newer existed.
        :raises PlatformUnavailableError: if the store did not respond.
        :raises RelayUnavailableError: if the relay did not respond.
        :raises HistoryDiscardedError: if the store does not have the changes
            after the position.
        """
        relay = None if position is None else self._choose_relay()
        if position is None or relay is None:
            return self._read_store(position, confirmation_age_s)
        return self._read_relay(relay, position)

    def _choose_relay(self) -> InstanceRecord | None:
        """Return the relay to ask, or None to ask the store."""
        now_s = self._now_s()
        for relay in self._relays:
            if now_s >= self._relay_retry_at_s.get(relay.name, now_s):
                return relay
        if not self._relays or now_s >= self._store_retry_at_s:
            return None
        return min(self._relays, key=lambda r: self._relay_retry_at_s[r.name])

    def _read_store(
        self, position: StorePosition | None, confirmation_age_s: float
    ) -> StoreUpdate:
        started_s = self._now_s()
        wait_s = max(MIN_WATCH_WAIT_S, MAX_WATCH_WAIT_S - confirmation_age_s)
        try:
            if position is None:
                batch = ItemListing(
                    read_page=self._platform.read_page, random=self._random
                ).read()
            else:
                batch = self._platform.watch(position, wait_s)
        except PlatformUnavailableError:
            delay_s = self._random.uniform(*STORE_RETRY_DELAY_RANGE_S)
            self._store_retry_at_s = self._now_s() + delay_s
            raise
        confirmed_at_s = started_s
        if (
            position is not None
            and not batch.items
            and self._now_s() - started_s >= wait_s
        ):
            confirmed_at_s += wait_s
        return StoreUpdate(batch=batch, confirmed_at_s=confirmed_at_s)

    def _read_relay(
        self, relay: InstanceRecord, position: StorePosition
    ) -> StoreUpdate:
        client = self._client_for(relay)
        try:
            update = client.read(position, RELAY_WATCH_WAIT_S)
            if update.batch.era < position.era:
                raise RelayUnavailableError("it is in an older era")
        except RelayUnavailableError as error:
            self._skip_relay(relay, error.message)
            raise
        age_s = self._now_s() - update.confirmed_at_s
        if age_s > MAX_RELAY_CONFIRMATION_AGE_S:
            self._skip_relay(
                relay, f"its last confirmation is {age_s:.1f} s old"
            )
        else:
            self._relay_retry_at_s.pop(relay.name, None)
        return update

    def _skip_relay(self, relay: InstanceRecord, reason: str) -> None:
        if relay.name not in self._relay_retry_at_s:
            _log.warning(
                "relay skipped", extra={"relay": relay.name, "reason": reason}
            )
        self._relay_retry_at_s[relay.name] = (
            self._now_s() + RELAY_RETRY_DELAY_S
        )

    def _client_for(self, relay: InstanceRecord) -> RelayClient:
        client = self._client
        if client is None or client.relay != relay:
            if client is not None:
                client.close()
            client = self._client = RelayClient(
                relay, self._now_s, self._on_relay_call
            )
            _log.info("relay chosen", extra={"relay": relay.name})
        return client
