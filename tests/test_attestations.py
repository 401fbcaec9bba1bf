"""Attestations by every writer."""

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
_MARK = (9, 1234)


def test_every_writer_must_attest() -> None:
    """Guards against freshness behind a partition from one writer."""
    held = Attestations()
    held.attest(_A, _MARK, 5.0)
    assert held.confirmed_by(_CONTROL, _MARK) is None
    held.attest(_B, (9, 99), 5.0)
    assert held.confirmed_by(_CONTROL, _MARK) is None
    held.attest(InstanceId(name="b", incarnation=2), _MARK, 5.5)
    assert held.confirmed_by(_CONTROL, _MARK) is None
    held.attest(_B, _MARK, 6.0)
    assert held.confirmed_by(_CONTROL, _MARK) == (5.0, 6.0)


def test_resignation_stands_in_for_one_list_of_writers() -> None:
    """Guards against a promise being used after the list changed."""
    held = Attestations()
    held.attest(_A, _MARK, 5.0)
    held.resign(Resignation(writer=_B, writers_version=3, sequence=9))
    assert held.confirmed_by(_CONTROL, _MARK) is None
    held.resign(Resignation(writer=_B, writers_version=4, sequence=10))
    assert held.confirmed_by(_CONTROL, _MARK) is None
    held.resign(Resignation(writer=_B, writers_version=4, sequence=9))
    assert held.confirmed_by(_CONTROL, _MARK) == (5.0,)


def test_resignations_alone_confirm_nothing() -> None:
    """Guards against endless freshness after all writers resigned."""
    held = Attestations()
    for writer in (_A, _B):
        held.resign(Resignation(writer=writer, writers_version=4, sequence=9))
    assert held.confirmed_by(_CONTROL, _MARK) is None
