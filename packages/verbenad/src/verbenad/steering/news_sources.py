"""Chooses where an instance reads the store's news."""

from collections.abc import Callable, Iterable
from random import Random

import logbook

from verbenad.steering.news import News
from verbenad.steering.platform_port import (
    PlatformPort,
    PlatformUnavailableError,
    RelayUnavailableError,
)
from verbenad.steering.relay_client import RelayClient
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.relay_choice import choose_relays, relay_order

# A waiting watch proves that nothing has changed only when it returns. One
# that returned early proves little, so the next one waits for less.
WATCH_WAIT_S = 1.5
SHORT_WAIT_S = 0.3
RELAY_WAIT_S = 1.0
# A relay whose proof is older than this has lost the store: its own watch,
# the wait there and the way here take less.
STALE_S = WATCH_WAIT_S + 0.5
# A relay that failed is not asked again for this long.
AVOID_S = 3.0
# Bounds of the pause after which an instance that can ask relays tries the
# store again.
STORE_PAUSE_S = (1.0, 2.0)

_log = logbook.Logger("verbenad.platform")


class NewsSources:
    """The store and the relays, of which one is asked at a time.

    :param own: this instance.
    """

    def __init__(
        self,
        *,
        own: InstanceRecord,
        port: PlatformPort,
        now_s: Callable[[], float],
        random: Random,
    ) -> None:
        self._own = own
        self._port = port
        self._now_s = now_s
        self._random = random
        self._relays: list[InstanceRecord] = []
        self._avoid_until_s: dict[str, float] = {}
        self._store_avoid_until_s = float("-inf")
        self._client: RelayClient | None = None

    def set_instances(self, others: Iterable[InstanceRecord]) -> None:
        """Replace the registered instances other than this one."""
        chosen = choose_relays([*others, self._own])
        if any(relay.name == self._own.name for relay in chosen):
            chosen = []
        self._relays = relay_order(self._own, chosen)
        names = {relay.name for relay in self._relays}
        for name in [n for n in self._avoid_until_s if n not in names]:
            del self._avoid_until_s[name]

    @property
    def has_relays(self) -> bool:
        """Whether other instances watch the store for this one."""
        return bool(self._relays)

    def read(self, revision: int | None, proof_age_s: float) -> News:
        """Return the next news.

        :param revision: up to which items are known; none for all items.
        :param proof_age_s: age of the proof that there was nothing newer.
        :raises PlatformUnavailableError: if the store did not answer.
        :raises RelayUnavailableError: if a relay did not answer.
        :raises HistoryGoneError: if the store dropped the history.
        """
        relay = None if revision is None else self._pick()
        if revision is None or relay is None:
            return self._read_store(revision, proof_age_s)
        return self._read_relay(relay, revision)

    def _pick(self) -> InstanceRecord | None:
        """Return the relay to ask; none for the store."""
        now_s = self._now_s()
        for relay in self._relays:
            if now_s >= self._avoid_until_s.get(relay.name, now_s):
                return relay
        if not self._relays or now_s >= self._store_avoid_until_s:
            return None
        return min(self._relays, key=lambda r: self._avoid_until_s[r.name])

    def _read_store(self, revision: int | None, proof_age_s: float) -> News:
        started_s = self._now_s()
        wait_s = max(SHORT_WAIT_S, WATCH_WAIT_S - proof_age_s)
        try:
            if revision is None:
                batch = self._port.snapshot()
            else:
                batch = self._port.watch(revision, wait_s)
        except PlatformUnavailableError:
            pause_s = self._random.uniform(*STORE_PAUSE_S)
            self._store_avoid_until_s = self._now_s() + pause_s
            raise
        proved_s = started_s
        if (
            revision is not None
            and not batch.items
            and self._now_s() - started_s >= wait_s
        ):
            proved_s += wait_s
        return News(batch=batch, proved_s=proved_s)

    def _read_relay(self, relay: InstanceRecord, revision: int) -> News:
        client = self._client_of(relay)
        try:
            news = client.read(revision, RELAY_WAIT_S)
        except RelayUnavailableError as error:
            self._avoid(relay, error.message)
            raise
        age_s = self._now_s() - news.proved_s
        if age_s > STALE_S:
            self._avoid(relay, f"its proof is {age_s:.1f} s old")
        else:
            self._avoid_until_s.pop(relay.name, None)
        return news

    def _avoid(self, relay: InstanceRecord, reason: str) -> None:
        if relay.name not in self._avoid_until_s:
            _log.warning(
                "relay left", extra={"relay": relay.name, "reason": reason}
            )
        self._avoid_until_s[relay.name] = self._now_s() + AVOID_S

    def _client_of(self, relay: InstanceRecord) -> RelayClient:
        client = self._client
        if client is None or client.relay != relay:
            if client is not None:
                client.close()
            client = self._client = RelayClient(relay, self._now_s)
            _log.info("relay chosen", extra={"relay": relay.name})
        return client
