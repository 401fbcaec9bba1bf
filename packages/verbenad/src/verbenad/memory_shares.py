"""Division of a machine's memory."""

from dataclasses import dataclass

from verbenad.held_bytes import DEFAULT_MEMORY_MB, limit_of_memory
from verbenad.receive_windows import (
    KERNEL_FACTOR,
    MAX_NARROW_BYTES,
    MIN_NARROW_BYTES,
    WIDE_BYTES,
)

# Shares of the memory for narrow receive buffers and for wide ones.
NARROW_SHARE = 0.125
WIDE_SHARE = 0.0625


@dataclass(frozen=True, kw_only=True, slots=True)
class MemoryShares:
    """Parts of a machine's memory.

    :ivar held_bytes: most bytes held for requests.
    :ivar narrow_bytes: receive buffer of a caller's connection.
    :ivar max_wide: most connections with a wide receive buffer.
    """

    held_bytes: int
    narrow_bytes: int
    max_wide: int


def divide_memory(memory_mb: float, max_connections: int) -> MemoryShares:
    """Return the parts of a machine's memory.

    :param memory_mb: memory of the machine; 0 if not known.
    :param max_connections: most connections of callers.
    """
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * (1 << 20)
    narrow_bytes = int(
        memory_bytes * NARROW_SHARE / max_connections / KERNEL_FACTOR
    )
    return MemoryShares(
        held_bytes=limit_of_memory(memory_mb),
        narrow_bytes=min(
            MAX_NARROW_BYTES, max(MIN_NARROW_BYTES, narrow_bytes)
        ),
        max_wide=int(memory_bytes * WIDE_SHARE / KERNEL_FACTOR / WIDE_BYTES),
    )
