"""Checks again that an admitted request may still run."""

from collections.abc import Callable

from verbenad.steering.admitted_request import AdmittedRequest
from verbenad.steering.steering_state import SteeringState


class PermissionCheck:
    """Decides before each attempt whether the request's key is still valid.

    A request may have waited for its body, for a coordinator or for an
    earlier attempt, and the process may have been paused in the meantime.

    :param key_field: lower-case name of the header field with the key.
    """

    def __init__(
        self,
        *,
        state: SteeringState,
        key_field: str,
        now_s: Callable[[], float],
    ) -> None:
        self._state = state
        self._key_field = key_field
        self._now_s = now_s

    def refusal_code(self, request: AdmittedRequest) -> str | None:
        """Return why the request may no longer run; none if it may."""
        if not request.workspace:
            return None
        if not self._state.freshness.is_valid(self._now_s()):
            return "not-fresh"
        config = self._state.config
        if config is None:
            return "not-fresh"
        if config.version == request.config_version:
            return None
        keys = request.head.values(self._key_field)
        workspace = config.workspace_of(keys[0]) if keys else None
        if workspace is None or workspace.name != request.workspace:
            return "key-unknown"
        return None

    def permitted_until_s(self, request: AdmittedRequest) -> float | None:
        """Return when the permission runs out; none if it does not."""
        return (
            self._state.freshness.valid_until_s if request.workspace else None
        )
