"""Encoding of the agreed state, and which states an instance applies."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from verbenaworks.agreed_state import AgreedState, AgreedStateError
from verbenaworks.applied_state import AppliedState, Comparison
from verbenaworks.control_record import (
    ControlRecord,
    InstanceId,
    ShardOwner,
    Writer,
)
from verbenaworks.state_delta import (
    DeltaMismatchError,
    apply_delta,
    make_delta,
    whole_state,
)

_INSTANCE = InstanceId(name="a", incarnation=3)


def make_state(
    sequence: int, config: bytes = b"doc", config_revision: int = 0
) -> AgreedState:
    """Return a state with a writer and an owner."""
    return AgreedState(
        sequence=sequence,
        config=msgspec.Raw(config),
        config_revision=config_revision,
        control=ControlRecord(
            writers=(Writer(instance=_INSTANCE, region="r"),),
            writers_version=1,
            shards=(ShardOwner(instance=_INSTANCE, epoch=2),) + (None,) * 15,
        ),
    )


def test_round_trip() -> None:
    """Guards against fields being lost on the way through the store."""
    state = make_state(7, b"\x00\xff", 5)
    assert AgreedState.from_bytes(state.to_bytes()) == state


@pytest.mark.parametrize(
    "data",
    [b"", b"\xc1", b"\x95\x02", msgspec.msgpack.encode([9, 1, 0, {}, b""])],
)
def test_malformed_values_are_refused(data: bytes) -> None:
    """Guards against a damaged store value that stops the instance."""
    with pytest.raises(AgreedStateError):
        AgreedState.from_bytes(data)


@settings(derandomize=True, deadline=None, max_examples=200, database=None)
@given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_only_typed_errors(data: bytes) -> None:
    """Guards against an unexpected exception from the decoder."""
    with pytest.raises(AgreedStateError):
        AgreedState.from_bytes(data)


@settings(derandomize=True, deadline=None, max_examples=200, database=None)
@given(
    st.lists(st.binary(max_size=40), max_size=30),
    st.integers(0, 29),
    st.binary(max_size=100),
)
def test_delta_restores_the_state(
    parts: list[bytes], cut: int, inserted: bytes
) -> None:
    """Guards against deltas that produce a wrong state."""
    base = b"".join(parts)
    data = b"".join(parts[:cut]) + inserted + b"".join(parts[cut + 1 :])
    delta = make_delta(base, 1, data)
    assert apply_delta(base, delta) == data
    try:
        assert apply_delta(data[::-1], delta) == data
    except DeltaMismatchError:
        assert data[::-1] != base


def test_delta_of_a_shifted_list_is_small() -> None:
    """Guards against sending the whole document for each edit."""
    edits = [f"edit {n:04d} by operator {n % 7}".encode() for n in range(257)]
    base, data = b"".join(edits[:-1]), b"".join(edits[1:])
    delta = make_delta(base, 1, data)
    literal = sum(len(run) for run in delta.runs if isinstance(run, bytes))
    assert literal < 100


def test_refuses_older_and_diverged_states() -> None:
    """Guards against applying an older state after the store was restored."""
    applied = AppliedState()
    newest = make_state(5, b"new", 3)
    assert applied.apply(newest, newest.to_bytes())
    for state, expected in (
        (make_state(4, b"old", 2), Comparison.OLDER),
        (make_state(5, b"other", 3), Comparison.DIVERGED),
        (make_state(6, b"old", 2), Comparison.DIVERGED),
        (make_state(4, b"lost", 4), Comparison.DIVERGED),
    ):
        data = state.to_bytes()
        assert applied.compare(state, data) is expected
        assert not applied.apply(state, data)
    assert applied.state == newest


class AppliedStateMachine(RuleBasedStateMachine):
    """Two instances that exchange states of several store histories."""

    def __init__(self) -> None:
        super().__init__()
        self.receiver = AppliedState()
        self.sender = AppliedState()
        self.highest = (0, 0)

    @rule(
        sequence=st.integers(1, 12),
        revision=st.integers(0, 5),
        body=st.integers(0, 2),
        to_sender=st.booleans(),
    )
    def offer(
        self, sequence: int, revision: int, body: int, to_sender: bool
    ) -> None:
        """Offer any state, as a restored store or a late relay may."""
        state = make_state(sequence, b"body%d" % body * 20, revision)
        instance = self.sender if to_sender else self.receiver
        instance.apply(state, state.to_bytes())

    @precondition(lambda self: self.sender.state is not None)
    @rule()
    def relay(self) -> None:
        """Send the newer state, as a delta where possible."""
        delta = self.sender.make_update(self.receiver.state_id, whole=False)
        try:
            data = apply_delta(
                self.receiver.delta_base(delta.base_sequence), delta
            )
        except DeltaMismatchError:
            data = apply_delta(b"", whole_state(self.sender.data))
        assert data == self.sender.data
        self.receiver.apply(AgreedState.from_bytes(data), data)

    @invariant()
    def never_gets_older(self) -> None:
        """Sequence and configuration revision only grow."""
        current = (self.receiver.sequence, self.receiver.config_revision)
        assert current[0] >= self.highest[0] and current[1] >= self.highest[1]
        self.highest = current


TestAppliedState = AppliedStateMachine.TestCase
TestAppliedState.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=25,
    database=None,
)
