"""Checkers of agreement histories, on constructed good and bad histories."""

from typing import Any

import agreement_checkers as checkers


def _observe(t: float, *nodes: Any) -> dict[str, Any]:
    return {"t": t, "kind": "observe", "nodes": nodes}


def _apply(sequence: int, revision: int, *edits: str) -> dict[str, Any]:
    return {
        "t": float(sequence),
        "kind": "apply",
        "node": "a",
        "incarnation": 1,
        "sequence": sequence,
        "config_revision": revision,
        "edits": edits,
    }


def _effect(t: float, *edits: str) -> dict[str, Any]:
    return {"t": t, "kind": "effect", "edits": edits}


def _event(t: float, kind: str, **fields: Any) -> dict[str, Any]:
    return {"t": t, "kind": kind, "node": "a", "incarnation": 1, **fields}


def test_two_owners_are_found() -> None:
    """Guards against a checker that accepts two owners of one shard."""
    a, b = ("a", True, (), ((3, 1),)), ("b", True, (), ((3, 2),))
    assert checkers.check_owners([_observe(1, a, b)])
    assert not checkers.check_owners([_observe(1, a), _observe(2, b)])


def test_reverts_are_found() -> None:
    """Guards against a checker that accepts lost or repeated edits."""
    start = _apply(1, 1, "e1")
    assert checkers.check_reverts([start, _apply(2, 1, "e2")])
    assert checkers.check_reverts([start, _apply(2, 0, "e1")])
    assert checkers.check_reverts([_apply(2, 1, "e1"), start])
    assert checkers.check_reverts([_apply(1, 2, "e1", "e1")])
    assert not checkers.check_reverts([start, _apply(2, 2, "e1", "e2")])


def test_reverts_near_a_restore_are_excused_only_there() -> None:
    """Guards against a restore that allows every later revert."""
    events = [_effect(1, "e1"), _event(2, "restore"), _effect(2)]
    lost_soon = [_apply(3, 1, "e1"), _apply(4, 1)]
    lost_late = [_apply(8, 1, "e1"), _apply(9, 1)]
    assert not checkers.check_reverts(events + lost_soon)
    assert checkers.check_reverts(events + lost_late)


def test_lost_edits_are_found() -> None:
    """Guards against a checker that accepts the loss of an accepted edit."""
    accepted = _event(1, "accepted", edit="e1")
    lost = _observe(9, ("a", True, (), ()))
    twice = _observe(9, ("a", True, ("e1", "e1"), ()))
    held = _observe(9, ("a", True, ("e1",), ()))
    assert checkers.check_accepted([accepted, lost])
    assert checkers.check_accepted([accepted, twice])
    assert not checkers.check_accepted([accepted, held])
    restore, kill = _event(2, "restore"), _event(3, "kill")
    assert checkers.check_accepted([accepted, restore, lost])
    assert checkers.check_accepted([accepted, kill, lost])
    assert not checkers.check_accepted([accepted, restore, kill, lost])


def test_rejected_edits_in_force_are_found() -> None:
    """Guards against a checker that ignores rejected edits in force."""
    submit = _event(1, "submit", edit="e1")
    rejected = _event(2, "rejected", edit="e1")
    assert checkers.check_rejected([submit, rejected, _effect(3, "e1")])
    assert not checkers.check_rejected(
        [submit, rejected, submit, _effect(3, "e1")]
    )


def test_late_withdrawals_are_found() -> None:
    """Guards against a checker that ignores a key withdrawn too late."""
    late = _observe(6.5, ("a", True, (), ()))
    assert checkers.check_withdrawals([_effect(1, "e1"), late])
    assert not checkers.check_withdrawals([_effect(2, "e1"), late])
    stale = _observe(6.5, ("a", False, (), ()))
    assert not checkers.check_withdrawals([_effect(1, "e1"), stale])
    erased = [_effect(1, "e1"), _effect(3), _effect(4, "e1")]
    assert not checkers.check_withdrawals([*erased, late])


def test_failed_recovery_is_found() -> None:
    """Guards against a checker that accepts a fleet that does not recover."""
    shards = tuple((n, 1) for n in range(16))
    assert not checkers.check_recovery([_observe(1, ("a", True, (), shards))])
    assert checkers.check_recovery([_observe(1, ("a", False, (), shards))])
    assert checkers.check_recovery([_observe(1, ("a", True, (), shards[1:]))])
    assert checkers.check_recovery(
        [_observe(1, ("a", True, (), shards), ("b", True, ("e1",), ()))]
    )
    assert checkers.check_always_fresh([_observe(1, ("a", False, (), ()))], 0)
