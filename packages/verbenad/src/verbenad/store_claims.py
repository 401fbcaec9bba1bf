"""Claims in the store for idempotency keys without a ticket.

Each claim is a write to the store, so the rate of claims is limited. An
instance uses one lease for all claims within ten minutes.
"""

import secrets
from collections.abc import Callable
from enum import Enum
from hashlib import blake2b

from result import Err, Ok

from verbenad.store_client import (
    StoreClient,
    StoreConflictError,
    StoreOutcomeUnknownError,
)

LEASE_SHARE_S = 600.0
_KEY_PREFIX = "verbena/runs/"


class StoreClaim(Enum):
    """Result of a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    UNAVAILABLE = "unavailable"


class StoreClaims:
    """Claims of one instance."""

    def __init__(self, store: StoreClient, now_s: Callable[[], float]) -> None:
        self._store = store
        self._now_s = now_s
        self._lease_id = 0
        self._lease_until_s = 0.0

    def claim(self, key: str, window_s: float) -> StoreClaim:
        """Claim a key for at least ``window_s`` seconds."""
        lease_id = self._lease(window_s)
        if not lease_id:
            return StoreClaim.UNAVAILABLE
        store_key = _KEY_PREFIX + _digest(key)
        owner = secrets.token_bytes(8)
        match self._store.put(store_key, owner, 0, lease_id):
            case Ok(_):
                return StoreClaim.GRANTED
            case Err(StoreConflictError()):
                return StoreClaim.TAKEN
            case Err(StoreOutcomeUnknownError()):
                return self._settle(store_key, owner)
            case _:
                return StoreClaim.UNAVAILABLE

    def release(self, key: str) -> None:
        """Give up a claim whose request provably did not run."""
        store_key = _KEY_PREFIX + _digest(key)
        match self._store.get(store_key):
            case Ok(found) if found.version:
                self._store.delete(store_key, found.version)
            case _:
                return

    def _settle(self, store_key: str, owner: bytes) -> StoreClaim:
        match self._store.get(store_key):
            case Ok(found) if found.data == owner:
                return StoreClaim.GRANTED
            case Ok(found) if found.version:
                return StoreClaim.TAKEN
            case _:
                # The write may still be applied, so the key must not be used.
                return StoreClaim.UNAVAILABLE

    def _lease(self, window_s: float) -> int:
        now_s = self._now_s()
        if self._lease_id and now_s < self._lease_until_s:
            return self._lease_id
        match self._store.grant_lease(window_s + LEASE_SHARE_S):
            case Ok(lease_id):
                self._lease_id = lease_id
                self._lease_until_s = now_s + LEASE_SHARE_S / 2
            case _:
                return 0
        return self._lease_id


def _digest(key: str) -> str:
    return blake2b(key.encode(), digest_size=20).hexdigest()
