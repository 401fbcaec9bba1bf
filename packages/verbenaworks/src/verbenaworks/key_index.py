"""Finds the workspace of a presented key."""

from collections.abc import Mapping
from dataclasses import dataclass

from verbenaworks.key_digest import key_id_of, verify


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyMatch:
    """The id of a presented key and its workspace."""

    workspace: str
    key_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class IndexedKey:
    """The stored digest of a key."""

    match: KeyMatch
    digest: str


class KeyIndex:
    """The keys of one configuration revision.

    Verified keys are not cached: a verification is one SHA-256 and costs
    about as much as the keyed hash that a secure cache would need.

    :param keys: the stored digests by key id.
    """

    def __init__(self, keys: Mapping[str, IndexedKey]) -> None:
        self._keys = dict(keys)

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, presented_key: str) -> KeyMatch | None:
        """Return the match of a valid key, or None."""
        indexed = self._keys.get(key_id_of(presented_key))
        digest = indexed.digest if indexed is not None else None
        if not verify(presented_key, digest) or indexed is None:
            return None
        return indexed.match
