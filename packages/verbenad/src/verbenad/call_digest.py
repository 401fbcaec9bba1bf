"""Digests that identify copies of the same request."""

from hashlib import blake2b

from verbenad.call import Call

# Larger bodies are identified by their beginning, because an instance does not
# keep whole uploads in memory.
PREFIX_BYTES = 65536


def call_digest(call: Call) -> str:
    """Return the digest of a request without its request id.

    Call it after the body's beginning has been prefetched.
    """
    digest = blake2b(digest_size=16)
    for part in (
        call.service.name,
        call.workspace,
        call.head.method,
        call.target,
    ):
        digest.update(part.encode("latin-1", "replace"))
        digest.update(b"\0")
    digest.update(call.body.prefix)
    return digest.hexdigest()
