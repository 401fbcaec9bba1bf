"""Keeps the configuration as new as that of the other instances."""

from collections.abc import Callable, Collection

import logbook

from verbenad.steering.platform_client import (
    PlatformClient,
    RelayUnavailableError,
)
from verbenad.steering.relay_client import RelayClient
from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.peer_configs import PeerConfigs

# A new configuration reaches all instances through the store in less time.
FETCH_DELAY_S = 1.0
# After the store was restored, keys are accepted again when most of the other
# instances have told their versions, at the latest after this time.
MAX_HOLD_S = 2.0

_log = logbook.Logger("verbenad.config")


class ConfigExchange:
    """Asks other instances for a newer configuration than the store gives.

    :param peers: returns the names of the instances that report to this one.
    :param call_later: calls a function once after a delay in seconds.
    """

    def __init__(
        self,
        *,
        state: SteeringState,
        platform: PlatformClient,
        directory: InstanceDirectory,
        peers: Callable[[], Collection[str]],
        now_s: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], object],
        on_relay_call: Callable[[InstanceRecord, int], None] | None = None,
    ) -> None:
        self._state = state
        self._platform = platform
        self._directory = directory
        self._peers = peers
        self._now_s = now_s
        self._call_later = call_later
        self._on_relay_call = on_relay_call
        self._configs = PeerConfigs()
        self._held_since_s: float | None = None
        self._is_fetching = False

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        config = self._state.config
        return config.version if config else 0

    def hold(self) -> None:
        """Accept no keys until the others have told their versions.

        Called when the store may be an older copy of itself.
        """
        self._held_since_s = self._now_s()
        self._state.freshness.hold()
        self._call_later(MAX_HOLD_S, self._release_if_current)
        _log.info("keys held", extra={"version": self.version})

    def record_peer(self, name: str, version: int) -> None:
        """Record the version that another instance has in force."""
        self._configs.record(self._now_s(), name, version)
        if version > self.version and not self._is_fetching:
            self._is_fetching = True
            delay_s = FETCH_DELAY_S if self._held_since_s is None else 0.0
            self._call_later(delay_s, self._fetch)
        self._release_if_current()

    def _release_if_current(self) -> None:
        since_s = self._held_since_s
        if since_s is None:
            return
        now_s = self._now_s()
        if self._configs.newest(now_s) > self.version:
            # The newer configuration is being fetched.
            return
        if now_s - since_s < MAX_HOLD_S and not self._configs.has_heard_most(
            since_s, self._peers()
        ):
            return
        self._held_since_s = None
        self._state.freshness.release()
        _log.info("keys released", extra={"version": self.version})

    def _fetch(self) -> None:
        try:
            for name in self._configs.holders(self._now_s(), self.version):
                if self._fetch_from(name):
                    break
        finally:
            self._is_fetching = False
        self._release_if_current()

    def _fetch_from(self, name: str) -> bool:
        """Take over the configuration of an instance; false if that failed."""
        peer = self._directory.peer(name)
        if peer is None:
            return False
        client = RelayClient(peer, self._now_s, self._on_relay_call)
        try:
            document = client.read_config()
            config = self._platform.decode_config(document)
        except (RelayUnavailableError, ValueError) as error:
            _log.warning(
                "configuration not fetched",
                extra={"instance": name, "reason": str(error)},
            )
            return False
        finally:
            client.close()
        _log.info(
            "configuration fetched",
            extra={"instance": name, "version": config.version},
        )
        self._state.apply_config(config, document)
        return True
