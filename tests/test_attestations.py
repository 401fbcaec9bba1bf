"""Confirmation of a state by attestations of every writer."""

from verbenaworks.agreement_messages import Resignation
from verbenaworks.attestations import Attestations
from verbenaworks.control_record import ControlRecord, InstanceId, Writer

_A, _B = (InstanceId(name=name, incarnation=1) for name in "ab")
_CONTROL = ControlRecord(
    writers=(
        Writer(instance=_A, region="r1"),
        Writer(instance=_B, region="r2"),
    ),
    writers_version=4,
)
_STATE_ID = (9, 1234)


def test_every_writer_must_attest() -> None:
    """Guards against freshness while one writer is partitioned away."""
    attestations = Attestations()
    attestations.attest(_A, _STATE_ID, 5.0)
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) is None
    attestations.attest(_B, (9, 99), 5.0)
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) is None
    attestations.attest(InstanceId(name="b", incarnation=2), _STATE_ID, 5.5)
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) is None
    attestations.attest(_B, _STATE_ID, 6.0)
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) == (5.0, 6.0)


def test_resignation_replaces_an_attestation_of_the_same_list() -> None:
    """Guards against a resignation that counts after the list changed."""
    attestations = Attestations()
    attestations.attest(_A, _STATE_ID, 5.0)
    attestations.resign(Resignation(writer=_B, writers_version=3, sequence=9))
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) is None
    attestations.resign(Resignation(writer=_B, writers_version=4, sequence=10))
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) is None
    attestations.resign(Resignation(writer=_B, writers_version=4, sequence=9))
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) == (5.0,)


def test_resignations_alone_confirm_nothing() -> None:
    """Guards against unlimited freshness after all writers resigned."""
    attestations = Attestations()
    for writer in (_A, _B):
        attestations.resign(
            Resignation(writer=writer, writers_version=4, sequence=9)
        )
    assert attestations.confirming_times_s(_CONTROL, _STATE_ID) is None
