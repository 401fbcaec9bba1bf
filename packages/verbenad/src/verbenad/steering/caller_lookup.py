"""Tells callers which instances to use."""

from collections.abc import Callable

from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_load import InstanceLoad


class CallerLookup:
    """Look-ups of hosts as one instance answers them.

    :param is_usable: returns whether this instance can serve requests with
        keys.
    :param is_leaving: returns whether this instance is shutting down.
    """

    def __init__(
        self,
        *,
        state: SteeringState,
        directory: InstanceDirectory,
        load: InstanceLoad,
        is_usable: Callable[[], bool],
        is_leaving: Callable[[], bool],
        now_s: Callable[[], float],
    ) -> None:
        self._state = state
        self._directory = directory
        self._load = load
        self._is_usable = is_usable
        self._is_leaving = is_leaving
        self._now_s = now_s

    def addresses(self, host: str, region: str) -> list[str] | None:
        """Return the addresses for a host; none without a configuration.

        :param region: region of the caller.
        """
        config = self._state.config
        if config is None:
            return None
        home_regions: frozenset[str] = frozenset()
        for route in config.routes_of(host):
            home_regions |= route.home_regions
        now_s = self._now_s()
        return self._directory.addresses(
            now_s,
            region=region,
            home_regions=home_regions,
            own_usable=self._is_usable(),
            own_leaving=self._is_leaving(),
            own_load=self._load.used_capacity(now_s),
        )
