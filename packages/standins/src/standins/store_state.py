"""Contents of the key-value store: values, versions and leases."""

from collections.abc import Callable
from dataclasses import dataclass, replace

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredValue:
    """One value.

    :ivar version: store-wide write counter at the last write of the key.
    :ivar lease_id: lease whose expiry deletes the value, 0 for none.
    """

    data: bytes
    version: int
    lease_id: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """A lease and the time at which it expires."""

    lease_id: int
    ttl_s: float
    expires_at_s: float


class VersionMismatchError(Exception):
    """The key's version is not the expected one.

    :param version: the version in the store, 0 if the key is absent.
    """

    def __init__(self, version: int) -> None:
        super().__init__(f"version is {version}")
        self.version = version


class StoreState:
    """Keys, leases and one write counter.

    :param now_s: clock of the store.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._values: dict[str, StoredValue] = {}
        self._leases: dict[int, Lease] = {}
        self._version = 0
        self._next_lease_id = 1

    def get(self, key: str) -> StoredValue | None:
        """Return the value of ``key`` if there is one."""
        self._expire()
        return self._values.get(key)

    def version(self, key: str) -> int:
        """Return the version of ``key``, 0 if it is absent."""
        value = self.get(key)
        return value.version if value else 0

    def put(
        self,
        key: str,
        data: bytes,
        expected_version: int | None,
        lease_id: int = 0,
    ) -> int:
        """Write ``data`` and return the new version.

        :raises VersionMismatchError: if the key has another version.
        :raises ValueError: if the value is too large or the lease is unknown.
        """
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"value exceeds {MAX_VALUE_BYTES} bytes")
        self._check_version(key, expected_version)
        if lease_id and lease_id not in self._leases:
            raise ValueError(f"lease {lease_id} is unknown or has expired")
        self._version += 1
        self._values[key] = StoredValue(
            data=data, version=self._version, lease_id=lease_id
        )
        return self._version

    def delete(self, key: str, expected_version: int | None) -> int:
        """Delete ``key`` and return the store's version.

        :raises VersionMismatchError: if the key has another version.
        """
        self._check_version(key, expected_version)
        if self._values.pop(key, None) is not None:
            self._version += 1
        return self._version

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = Lease(
            lease_id=lease_id,
            ttl_s=ttl_s,
            expires_at_s=self._now_s() + ttl_s,
        )
        return lease_id

    def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has expired."""
        self._expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        self._leases[lease_id] = replace(
            lease, expires_at_s=self._now_s() + lease.ttl_s
        )
        return True

    def backup(self) -> dict[str, StoredValue]:
        """Return a copy of all values."""
        return dict(self._values)

    def restore(self, values: dict[str, StoredValue]) -> None:
        """Replace all values by an older copy, like a restore from backup."""
        self._values = dict(values)
        self._version = max(
            (value.version for value in values.values()), default=0
        )

    def _check_version(self, key: str, expected: int | None) -> None:
        actual = self.version(key)
        if expected is not None and expected != actual:
            raise VersionMismatchError(actual)

    def _expire(self) -> None:
        now_s = self._now_s()
        expired = {
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at_s <= now_s
        }
        if not expired:
            return
        for lease_id in expired:
            del self._leases[lease_id]
        for key, value in list(self._values.items()):
            if value.lease_id in expired:
                del self._values[key]
                self._version += 1
