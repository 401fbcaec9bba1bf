"""The newest state that an instance has applied; it never goes back."""

import zlib
from collections import OrderedDict
from enum import Enum

from verbenaworks.agreed_state import AgreedState
from verbenaworks.state_delta import StateDelta, make_delta, whole_state

# Older encodings kept as bases of deltas; a state may have up to 1 MB.
_KEPT_BASES = 4
_KEPT_BYTES = 2_000_000


class Comparison(Enum):
    """How a state relates to the applied one."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    DIVERGED = "diverged"


class AppliedState:
    """The applied state with its encoding and some earlier encodings."""

    def __init__(self) -> None:
        self.state: AgreedState | None = None
        self.data = b""
        self.tag = 0
        self._bases: OrderedDict[tuple[int, int], bytes] = OrderedDict()
        self._deltas: dict[tuple[int, int], StateDelta] = {}

    @property
    def sequence(self) -> int:
        """Return the applied sequence; 0 before the first state."""
        return 0 if self.state is None else self.state.sequence

    @property
    def config_revision(self) -> int:
        """Return the applied configuration revision."""
        return 0 if self.state is None else self.state.config_revision

    @property
    def mark(self) -> tuple[int, int]:
        """Return sequence and tag, which identify the state."""
        return self.sequence, self.tag

    def compare(self, state: AgreedState, data: bytes) -> Comparison:
        """Compare a state with the applied one.

        A state with a higher sequence and a lower configuration revision,
        or the reverse, comes from a store that was restored.
        """
        if self.state is None:
            return Comparison.NEWER
        if data == self.data:
            return Comparison.SAME
        newer = state.sequence > self.sequence
        config = state.config_revision - self.config_revision
        if newer and config >= 0:
            return Comparison.NEWER
        if newer or config > 0 or state.sequence == self.sequence:
            return Comparison.DIVERGED
        return Comparison.OLDER

    def apply(self, state: AgreedState, data: bytes) -> bool:
        """Apply a newer state; refuse any other."""
        if self.compare(state, data) is not Comparison.NEWER:
            return False
        if self.state is not None:
            self._keep_base()
        self.state, self.data, self.tag = state, data, state_tag(data)
        self._deltas.clear()
        return True

    def base(self, sequence: int) -> bytes:
        """Return the encoding that a delta may refer to."""
        return self.data if sequence == self.sequence else b""

    def update_from(self, mark: tuple[int, int], whole: bool) -> StateDelta:
        """Return what an instance with the state ``mark`` lacks."""
        base = None if whole else self._bases.get(mark)
        key = (0, 0) if base is None else mark
        delta = self._deltas.get(key)
        if delta is None:
            delta = (
                whole_state(self.data)
                if base is None
                else make_delta(base, mark[0], self.data)
            )
            self._deltas[key] = delta
        return delta

    def _keep_base(self) -> None:
        self._bases[self.mark] = self.data
        while len(self._bases) > _KEPT_BASES or (
            len(self._bases) > 1
            and sum(map(len, self._bases.values())) > _KEPT_BYTES
        ):
            self._bases.popitem(last=False)


def state_tag(data: bytes) -> int:
    """Return the number that distinguishes states with one sequence."""
    return zlib.crc32(data)
