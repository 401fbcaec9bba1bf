"""Bound on the bytes that the process holds for callers and servers."""

import time
from collections import Counter
from collections.abc import Callable

# Share of the machine's memory that may be held. The rest is for the program
# itself, copies that last for one step, and the allocator's unused parts.
MEMORY_SHARE = 0.2
# The smallest machine; assumed if the settings do not tell the memory.
DEFAULT_MEMORY_MB = 200.0
MIN_LIMIT_BYTES = 4 << 20
# Held for a request in progress: its head, its greenlet, and the buffers of
# its connections.
REQUEST_BYTES = 32 << 10
# A request that holds no more than this may use the part of the memory that
# is kept for small requests.
SMALL_HOLDING_BYTES = REQUEST_BYTES + (64 << 10)
# Share of the limit that only small holdings may use.
SMALL_SHARE = 0.25
# Share of the limit from which pipelined requests are no longer run ahead.
SHORT_SHARE = 0.5
# A holding is dropped for another one if it made no progress for so long.
MIN_IDLE_S = 1.0
# Fewer bytes are no progress. Otherwise a caller that sends single bytes would
# keep its holding.
PROGRESS_BYTES = 16 << 10


class Holding:
    """The bytes held for one request or connection.

    :param owner: grants the bytes.
    :param drop: frees what is held; called at most once.
    :ivar held_bytes: bytes granted.
    :ivar dropped: whether it was dropped for another one.
    """

    __slots__ = (
        "_drop",
        "_owner",
        "_progress_bytes",
        "droppable",
        "dropped",
        "held_bytes",
        "progress_s",
    )

    def __init__(
        self, owner: "HeldBytes", drop: Callable[[], None] | None
    ) -> None:
        self._owner = owner
        self._drop = drop
        self._progress_bytes = 0
        self.droppable = False
        self.dropped = False
        self.held_bytes = 0
        self.progress_s = 0.0

    @property
    def is_small(self) -> bool:
        """Whether it may use the part for small requests."""
        return self.held_bytes <= SMALL_HOLDING_BYTES

    def try_grow(self, more_bytes: int) -> bool:
        """Ask for more bytes and return whether they are granted."""
        return self._owner.try_grow(self, more_bytes)

    def grow(self, more_bytes: int) -> None:
        """Count bytes that are held already, and drop others for them."""
        self._owner.grow(self, more_bytes)

    def shrink(self, fewer_bytes: int) -> None:
        """Return bytes that are no longer held."""
        self._owner.resize(self, self.held_bytes - fewer_bytes)

    def close(self) -> None:
        """Return all bytes."""
        self.set_droppable(False)
        self._owner.resize(self, 0)

    def set_droppable(self, droppable: bool) -> None:
        """Set whether it waits for its caller, and may be dropped."""
        self._owner.set_droppable(self, droppable)

    def record_progress(self, count: int) -> None:
        """Record that the caller sent or received ``count`` bytes."""
        self._progress_bytes += count
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            if self.droppable:
                self._owner.set_droppable(self, True)

    def drop(self) -> None:
        """Free what is held, because others need the bytes."""
        self.dropped = True
        self.close()
        if self._drop is not None:
            self._drop()


class HeldBytes:
    """Grants bytes to holdings, up to a limit.

    Only small holdings may use the last part of the limit, so that a crowd of
    large ones does not exclude them. If the limit is reached, the holding that
    has waited longest for its caller is dropped; if none has waited long, the
    one that asks is not granted the bytes.

    :param limit_bytes: most bytes that are held.
    :ivar held_bytes: bytes that are held now.
    :ivar counters: holdings refused and dropped.
    """

    def __init__(
        self,
        limit_bytes: int = 1 << 62,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.counters: Counter[str] = Counter(refused=0, dropped=0)
        self._large_limit_bytes = limit_bytes * (1 - SMALL_SHARE)
        self._large_bytes = 0
        self._now_s = now_s
        # Ordered: the first one has made no progress for the longest time.
        self._droppable_small: dict[Holding, None] = {}
        self._droppable_large: dict[Holding, None] = {}

    @property
    def is_short(self) -> bool:
        """Whether bytes should be held only where it is necessary."""
        return self.held_bytes > self.limit_bytes * SHORT_SHARE

    def open(self, drop: Callable[[], None] | None = None) -> Holding:
        """Return a new holding without any bytes."""
        return Holding(self, drop)

    def try_grow(self, holding: Holding, more_bytes: int) -> bool:
        """Grant more bytes to a holding if they fit, and return whether."""
        if holding.dropped:
            return False
        size = holding.held_bytes + more_bytes
        while more_bytes > 0 and not self._fits(holding, size):
            if not self._drop_one(size <= SMALL_HOLDING_BYTES, holding):
                self.counters["refused"] += 1
                return False
        self.resize(holding, size)
        return True

    def grow(self, holding: Holding, more_bytes: int) -> None:
        """Count more bytes of a holding, whether or not they fit."""
        if holding.dropped:
            return
        size = holding.held_bytes + more_bytes
        while not self._fits(holding, size):
            if not self._drop_one(size <= SMALL_HOLDING_BYTES, holding):
                break
        self.resize(holding, size)

    def drop_stalled(self) -> bool:
        """Drop the holding that has stalled for longest; return whether."""
        return self._drop_one(True, None)

    def resize(self, holding: Holding, size: int) -> None:
        """Set the bytes of a holding."""
        size = max(0, size)
        if not holding.is_small:
            self._large_bytes -= holding.held_bytes
        old_order = self._order(holding)
        self.held_bytes += size - holding.held_bytes
        holding.held_bytes = size
        if not holding.is_small:
            self._large_bytes += size
        order = self._order(holding)
        if holding.droppable and order is not old_order:
            old_order.pop(holding, None)
            order[holding] = None

    def set_droppable(self, holding: Holding, droppable: bool) -> None:
        """Set whether a holding may be dropped, from now on."""
        order = self._order(holding)
        order.pop(holding, None)
        holding.droppable = droppable and not holding.dropped
        if holding.droppable:
            holding.progress_s = self._now_s()
            order[holding] = None

    def _order(self, holding: Holding) -> dict[Holding, None]:
        return (
            self._droppable_small
            if holding.is_small
            else self._droppable_large
        )

    def _fits(self, holding: Holding, size: int) -> bool:
        if self.held_bytes + size - holding.held_bytes > self.limit_bytes:
            return False
        if size <= SMALL_HOLDING_BYTES:
            return True
        others_bytes = self._large_bytes
        if not holding.is_small:
            others_bytes -= holding.held_bytes
        return others_bytes + size <= self._large_limit_bytes

    def _drop_one(self, for_small: bool, asking: Holding | None) -> bool:
        """Drop the holding that has made no progress for the longest time.

        A small holding is dropped only for another small one.
        """
        orders = [self._droppable_large]
        if for_small:
            orders.append(self._droppable_small)
        firsts = [
            next((x for x in order if x is not asking), None)
            for order in orders
        ]
        longest = min(
            (x for x in firsts if x is not None),
            key=lambda x: x.progress_s,
            default=None,
        )
        if longest is None or self._now_s() - longest.progress_s < MIN_IDLE_S:
            return False
        self.counters["dropped"] += 1
        longest.drop()
        return True


def limit_of_memory(memory_mb: float) -> int:
    """Return the limit on a machine.

    :param memory_mb: memory of the machine; 0 if not known.
    """
    return max(
        MIN_LIMIT_BYTES,
        int((memory_mb or DEFAULT_MEMORY_MB) * MEMORY_SHARE * (1 << 20)),
    )
