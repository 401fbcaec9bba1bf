"""Writes with probes, unknown outcomes and timeouts."""

import itertools

from agreement_harness import encode_config, make_edit
from verbenaworks.agreed_state import AgreedState
from verbenaworks.control_record import ControlRecord, InstanceId, Writer
from verbenaworks.state_edit import (
    EditAccepted,
    EditRejected,
    EditUnknown,
    NotWriterError,
    StoreDownError,
)
from verbenaworks.state_writes import EDIT_TIMEOUT_S, StateWrites, WriteBasis
from verbenaworks.store_requests import (
    StoreConflict,
    StoreGetVersion,
    StoreOutcomeUnknown,
    StorePut,
    StorePutApplied,
    StoreUnavailable,
    StoreVersionFound,
)

_OWN = InstanceId(name="a", incarnation=1)


def make_basis(
    edits: list[str], sequence: int = 4, writer: InstanceId = _OWN
) -> WriteBasis:
    """Return a basis whose store version is ten times the sequence."""
    config = encode_config(edits)
    return WriteBasis(
        version=10 * sequence,
        sequence=sequence,
        state=AgreedState(
            sequence=sequence,
            config=config.document,
            config_revision=config.config_revision,
            control=ControlRecord(
                writers=(Writer(instance=writer, region="r"),)
            ),
        ),
    )


def start_write(basis: WriteBasis) -> tuple[StateWrites, StorePut]:
    """Return the writes of an instance that has just sent the edit e1."""
    ids = itertools.count(1)
    writes = StateWrites(_OWN, lambda: next(ids))
    writes.submit(make_edit("e1"), 0.0)
    (probe,) = writes.step(0.0, basis)
    assert isinstance(probe, StoreGetVersion)
    assert writes.is_settled
    (put,) = writes.on_probe(
        0.1, probe.request_id, StoreVersionFound(version=basis.version)
    )
    assert isinstance(put, StorePut)
    assert put.expected_version == basis.version
    return writes, put


def test_accepted() -> None:
    """Guards against an outcome that is reported late or twice."""
    writes, put = start_write(make_basis([]))
    assert not writes.is_settled
    settled = writes.on_put(0.2, put.request_id, StorePutApplied(version=41))
    assert settled is not None and settled.state.sequence == 5
    assert writes.drain_outcomes() == [
        EditAccepted(edit_id="e1", config_revision=1)
    ]
    assert writes.is_idle and writes.drain_outcomes() == []


def test_no_write_without_a_successful_probe() -> None:
    """Guards against unknown outcomes at the start of an outage."""
    ids = itertools.count(1)
    writes = StateWrites(_OWN, lambda: next(ids))
    writes.submit(make_edit("e1"), 0.0)
    (probe,) = writes.step(0.0, make_basis([]))
    assert writes.on_probe(0.1, probe.request_id, StoreUnavailable()) == []
    writes.step(EDIT_TIMEOUT_S, make_basis([]))
    (outcome,) = writes.drain_outcomes()
    assert isinstance(outcome, EditRejected)
    assert isinstance(outcome.error, StoreDownError)


def test_unknown_outcome_is_sent_again_until_the_version_changes() -> None:
    """Guards against a write that takes effect after its edit was refused."""
    writes, put = start_write(make_basis([]))
    writes.on_put(0.2, put.request_id, StoreOutcomeUnknown())
    assert writes.needs_read() and not writes.is_settled
    settled, (again,) = writes.on_read(0.4, 0.3, 40, b"before")
    assert settled is None and isinstance(again, StorePut)
    assert (again.value, again.expected_version) == (put.value, 40)
    writes.on_put(0.5, again.request_id, StoreConflict())
    assert not writes.is_settled
    settled, _ = writes.on_read(0.7, 0.6, 41, put.value)
    assert settled is not None and settled.version == 41
    assert isinstance(writes.drain_outcomes()[0], EditAccepted)


def test_superseded_write_is_found_by_its_id() -> None:
    """Guards against applying an edit twice after a lost answer."""
    writes, put = start_write(make_basis([]))
    writes.on_put(0.2, put.request_id, StoreOutcomeUnknown())
    later = make_basis(["e1", "e2"], sequence=6).state
    assert later is not None
    assert writes.on_read(0.4, 0.3, 60, later.to_bytes()) == (None, [])
    assert writes.is_idle
    assert writes.drain_outcomes() == [
        EditAccepted(edit_id="e1", config_revision=1)
    ]


def test_conflict_is_rebased() -> None:
    """Guards against overwriting a concurrent operator's edit."""
    writes, put = start_write(make_basis([]))
    writes.on_put(0.2, put.request_id, StoreConflict())
    basis = make_basis(["other"], sequence=5)
    (probe,) = writes.step(0.5, basis)
    (again,) = writes.on_probe(
        0.6, probe.request_id, StoreVersionFound(version=50)
    )
    assert isinstance(again, StorePut)
    state = AgreedState.from_bytes(again.value)
    assert bytes(state.config) == b'["other", "e1"]'


def test_timeout_reports_unknown_while_unsettled() -> None:
    """Guards against a wrong refusal while the write may take effect."""
    writes, _ = start_write(make_basis([]))
    writes.step(EDIT_TIMEOUT_S, None)
    assert writes.drain_outcomes() == [EditUnknown(edit_id="e1")]
    assert not writes.is_settled


def test_restored_store_leaves_the_outcome_unknown() -> None:
    """Guards against refusing an edit that a repair of the store restores."""
    writes, put = start_write(make_basis([]))
    writes.on_put(0.2, put.request_id, StoreOutcomeUnknown())
    older = make_basis([], sequence=3).state
    assert older is not None
    writes.on_read(0.4, 0.3, 30, older.to_bytes())
    writes.step(EDIT_TIMEOUT_S, None)
    assert writes.drain_outcomes() == [EditUnknown(edit_id="e1")]


def test_only_writers_write() -> None:
    """Guards against a write by an instance that was removed."""
    ids = itertools.count(1)
    writes = StateWrites(_OWN, lambda: next(ids))
    writes.submit(make_edit("e1"), 0.0)
    basis = make_basis([], writer=InstanceId(name="a", incarnation=2))
    (probe,) = writes.step(0.0, basis)
    found = StoreVersionFound(version=basis.version)
    assert writes.on_probe(0.1, probe.request_id, found) == []
    (outcome,) = writes.drain_outcomes()
    assert isinstance(outcome, EditRejected)
    assert isinstance(outcome.error, NotWriterError)
