"""The newest state that an instance has applied.

An instance never replaces its state by an older one.
"""

import zlib
from collections import OrderedDict
from enum import Enum

from verbenaworks.agreed_state import AgreedState
from verbenaworks.state_delta import StateDelta, make_delta, whole_state

# Limits of the earlier encodings that are kept as bases of deltas. A state
# may have up to 1 MB.
_MAX_BASES = 4
_MAX_BASE_BYTES = 2_000_000


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
    def state_id(self) -> tuple[int, int]:
        """Return (sequence, tag), which identifies the state."""
        return self.sequence, self.tag

    def compare(self, state: AgreedState, data: bytes) -> Comparison:
        """Compare a state with the applied one.

        A state with a higher sequence and a lower configuration revision,
        or the reverse, is diverged: the store was restored.
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
        """Apply the state if it is newer; return whether it was applied."""
        if self.compare(state, data) is not Comparison.NEWER:
            return False
        if self.state is not None:
            self._keep_base()
        self.state, self.data, self.tag = state, data, state_tag(data)
        self._deltas.clear()
        return True

    def delta_base(self, sequence: int) -> bytes:
        """Return the encoding to which a delta with this base applies."""
        return self.data if sequence == self.sequence else b""

    def make_update(
        self, state_id: tuple[int, int], whole: bool
    ) -> StateDelta:
        """Return the delta for an instance that has the state ``state_id``.

        :param whole: return the whole state instead of a delta.
        """
        base = None if whole else self._bases.get(state_id)
        key = (0, 0) if base is None else state_id
        delta = self._deltas.get(key)
        if delta is None:
            delta = (
                whole_state(self.data)
                if base is None
                else make_delta(base, state_id[0], self.data)
            )
            self._deltas[key] = delta
        return delta

    def _keep_base(self) -> None:
        self._bases[self.state_id] = self.data
        while len(self._bases) > _MAX_BASES or (
            len(self._bases) > 1
            and sum(map(len, self._bases.values())) > _MAX_BASE_BYTES
        ):
            self._bases.popitem(last=False)


def state_tag(data: bytes) -> int:
    """Return a checksum that distinguishes states with one sequence."""
    return zlib.crc32(data)
