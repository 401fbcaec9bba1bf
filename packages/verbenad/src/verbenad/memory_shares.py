"""Division of a machine's memory."""

import os
from dataclasses import dataclass

from verbenad.held_bytes import DEFAULT_MEMORY_MB, limit_of_memory
from verbenad.receive_windows import (
    KERNEL_FACTOR,
    MAX_NARROW_BYTES,
    MIN_NARROW_BYTES,
    WIDE_BYTES,
)

# Share of the memory for connections, and what one takes of it.
CONNECTION_SHARE = 0.25
CONNECTION_BYTES = 16 << 10
# Shares of the memory for narrow receive buffers and for wide ones.
NARROW_SHARE = 0.1
WIDE_SHARE = 0.0625


@dataclass(frozen=True, kw_only=True, slots=True)
class MemoryShares:
    """Parts of a machine's memory.

    :ivar held_bytes: most bytes held for requests.
    :ivar connections: most connections of callers.
    :ivar narrow_bytes: receive buffer of a caller's connection.
    :ivar max_wide: most connections with a wide receive buffer.
    """

    held_bytes: int
    connections: int
    narrow_bytes: int
    max_wide: int


def divide_memory(memory_mb: float, max_connections: int) -> MemoryShares:
    """Return the parts of a machine's memory.

    :param memory_mb: memory of the machine; 0 if not known.
    :param max_connections: most connections that other limits permit.
    """
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * (1 << 20)
    connections = min(
        max_connections,
        int(memory_bytes * CONNECTION_SHARE / CONNECTION_BYTES),
    )
    narrow_bytes = int(
        memory_bytes * NARROW_SHARE / connections / KERNEL_FACTOR
    )
    return MemoryShares(
        held_bytes=limit_of_memory(memory_mb),
        connections=connections,
        narrow_bytes=min(
            MAX_NARROW_BYTES, max(MIN_NARROW_BYTES, narrow_bytes)
        ),
        max_wide=int(memory_bytes * WIDE_SHARE / KERNEL_FACTOR / WIDE_BYTES),
    )


def machine_memory_mb() -> float:
    """Return the memory of the machine that the process runs on."""
    pages = os.sysconf("SC_PHYS_PAGES")
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
