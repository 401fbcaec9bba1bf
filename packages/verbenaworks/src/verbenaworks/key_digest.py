"""Keys of callers and tokens of operators.

A secret has 192 random bits, so a salted SHA-256 is sufficient. A slow hash
protects only secrets that can be guessed.
"""

import hashlib
import hmac
from collections.abc import Callable
from dataclasses import dataclass, field

SALT_BYTES = 16
SECRET_BYTES = 24
_ID_BYTES = 6
# Longer texts are not keys and are not hashed completely.
_MAX_KEY_CHARACTERS = 256
_UNKNOWN_DIGEST = f"{'00' * SALT_BYTES}:{'00' * 32}"


@dataclass(frozen=True, kw_only=True, slots=True)
class NewKey:
    """A newly created key; only its digest is stored."""

    key_id: str
    key: str = field(repr=False)
    digest: str


def create_key(
    random_bytes: Callable[[int], bytes], prefix: str = "vk"
) -> NewKey:
    """Return a new key ``<prefix>_<id>_<secret>``.

    :param random_bytes: cryptographically secure random source, such as
        ``secrets.token_bytes``.
    :param prefix: ``vk`` for a caller's key, ``vt`` for an operator's token.
    """
    key_id = random_bytes(_ID_BYTES).hex()
    return create_key_with_id(random_bytes, key_id, prefix)


def create_key_with_id(
    random_bytes: Callable[[int], bytes], key_id: str, prefix: str = "vk"
) -> NewKey:
    """Return a new key with a given id, which must not contain ``_``."""
    key = f"{prefix}_{key_id}_{random_bytes(SECRET_BYTES).hex()}"
    digest = digest_of(key, random_bytes(SALT_BYTES))
    return NewKey(key_id=key_id, key=key, digest=digest)


def digest_of(key: str, salt: bytes) -> str:
    """Return the salted digest that is stored for a key."""
    return f"{salt.hex()}:{_hash(salt, key)}"


def key_id_of(presented: str, prefix: str = "vk") -> str:
    """Return the id in a presented key, or "" if it is malformed."""
    if len(presented) > _MAX_KEY_CHARACTERS:
        return ""
    parts = presented.split("_")
    if len(parts) != 3 or parts[0] != prefix:
        return ""
    return parts[1]


def verify(presented: str, digest: str | None) -> bool:
    """Return whether a presented key has this digest.

    The comparison takes constant time. A key with an unknown id, whose
    digest is None, is checked with the same steps.
    """
    stored = digest if digest is not None else _UNKNOWN_DIGEST
    salt, _, expected = stored.partition(":")
    actual = _hash(bytes.fromhex(salt), presented[:_MAX_KEY_CHARACTERS])
    same = hmac.compare_digest(actual, expected)
    return same and digest is not None


def _hash(salt: bytes, key: str) -> str:
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.sha256(salt + data).hexdigest()
