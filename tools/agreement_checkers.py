"""Checkers of agreement histories.

They read only the recorded events and share no code with the product. Each
returns a list of messages that describe the violations.
"""

from typing import Any

Event = dict[str, Any]


def check_owners(history: list[Event]) -> list[str]:
    """Return observations of two instances with valid leases on one shard."""
    violations = []
    for event in history:
        if event["kind"] != "observe":
            continue
        owners: dict[int, str] = {}
        for name, _, _, leases in event["nodes"]:
            for shard, epoch in leases:
                if shard in owners:
                    violations.append(
                        f"t={event['t']}: shard {shard} has owners "
                        f"{owners[shard]} and {name} (epoch {epoch})"
                    )
                owners[shard] = name
    return violations


def check_reverts(history: list[Event]) -> list[str]:
    """Return states that an instance applied and that lost earlier edits.

    A sequence or a revision that goes back and an edit that is applied twice
    are violations too.

    If an edit took effect at most 3 s before or after a restore of the store,
    its loss is allowed for 6 s: the writer that repairs the store may not
    know the edit. ``check_accepted`` requires that it comes back.
    """
    violations = []
    excused = _edits_near_restore(history)
    previous: dict[tuple[str, int], Event] = {}
    for event in history:
        if event["kind"] != "apply":
            continue
        run = (event["node"], event["incarnation"])
        before = previous.get(run)
        previous[run] = event
        if len(set(event["edits"])) != len(event["edits"]):
            violations.append(f"t={event['t']}: an edit is applied twice")
        if before is None:
            continue
        lost = {
            edit
            for edit in set(before["edits"]) - set(event["edits"])
            if not any(
                from_s <= event["t"] <= until_s
                for from_s, until_s in excused.get(edit, ())
            )
        }
        if lost:
            violations.append(f"t={event['t']}: {run} lost {sorted(lost)}")
        if event["sequence"] <= before["sequence"]:
            violations.append(f"t={event['t']}: {run} went back in sequence")
        if event["config_revision"] < before["config_revision"]:
            violations.append(f"t={event['t']}: {run} went back in revision")
    return violations


def _edits_near_restore(
    history: list[Event],
) -> dict[str, list[tuple[float, float]]]:
    restores = [e["t"] for e in history if e["kind"] == "restore"]
    spans: dict[str, list[tuple[float, float]]] = {}
    present: set[str] = set()
    for event in history:
        if event["kind"] != "effect":
            continue
        for edit in set(event["edits"]) - present:
            spans.setdefault(edit, []).extend(
                (restore_s, restore_s + 6.0)
                for restore_s in restores
                if abs(restore_s - event["t"]) <= 3.0
            )
        present = set(event["edits"])
    return spans


def check_accepted(history: list[Event]) -> list[str]:
    """Return accepted edits that any instance lacks or repeats at the end.

    If the store was restored, an edit may be missing when the writer that
    accepted it was killed less than 10 s later: no instance that knows the
    edit may be left then.
    """
    accepted = {
        e["edit"]: e for e in reversed(history) if e["kind"] == "accepted"
    }
    restored = any(e["kind"] == "restore" for e in history)
    kills = {
        (e["node"], e["incarnation"]): e["t"]
        for e in history
        if e["kind"] == "kill"
    }
    final = [e for e in history if e["kind"] == "observe"][-1]
    violations = []
    for edit, event in accepted.items():
        stopped = kills.get((event["node"], event["incarnation"]))
        if restored and stopped and stopped < event["t"] + 10.0:
            continue
        for name, _, edits, _ in final["nodes"]:
            if edit not in edits:
                violations.append(f"accepted {edit} is missing at {name}")
            if edits.count(edit) > 1:
                violations.append(
                    f"accepted {edit} is applied twice at {name}"
                )
    return violations


def check_rejected(history: list[Event]) -> list[str]:
    """Return edits that took effect although they were reported as rejected.

    Edits that were submitted more than once are not checked.
    """
    violations = []
    last_submit: dict[str, float] = {}
    submits: dict[str, int] = {}
    rejected: dict[str, float] = {}
    for event in history:
        if event["kind"] == "submit":
            last_submit[event["edit"]] = event["t"]
            submits[event["edit"]] = submits.get(event["edit"], 0) + 1
        elif event["kind"] == "rejected":
            rejected[event["edit"]] = event["t"]
        elif event["kind"] == "effect":
            for edit in event["edits"]:
                if (
                    edit in rejected
                    and submits.get(edit) == 1
                    and event["t"] > rejected[edit] >= last_submit[edit]
                ):
                    violations.append(f"rejected {edit} took effect")
    return sorted(set(violations))


def check_withdrawals(history: list[Event], limit_s: float = 5.0) -> list[str]:
    """Return fresh instances that lack an edit ``limit_s`` after its effect.

    Every edit represents the withdrawal of a key. If a restored store loses
    an edit, its time starts again when the edit is written back.
    """
    violations = []
    effect_s: dict[str, float] = {}
    for event in history:
        if event["kind"] == "effect":
            present = set(event["edits"])
            effect_s = {e: t for e, t in effect_s.items() if e in present}
            for edit in present:
                effect_s.setdefault(edit, event["t"])
        elif event["kind"] == "observe":
            for name, fresh, edits, _ in event["nodes"]:
                if not fresh:
                    continue
                applied = set(edits)
                for edit, since_s in effect_s.items():
                    if event["t"] > since_s + limit_s and edit not in applied:
                        violations.append(
                            f"t={event['t']}: fresh {name} lacks {edit}, in "
                            f"effect since {since_s}"
                        )
    return violations


def check_recovery(history: list[Event]) -> list[str]:
    """Return failures to recover that remain after all faults have ended."""
    final = [e for e in history if e["kind"] == "observe"][-1]
    violations = [
        f"{name} is not fresh at the end"
        for name, fresh, _, _ in final["nodes"]
        if not fresh
    ]
    owned = {shard for node in final["nodes"] for shard, _ in node[3]}
    if len(owned) != 16:
        violations.append(f"only {len(owned)} shards have a valid owner")
    if len({edits for _, _, edits, _ in final["nodes"]}) != 1:
        violations.append("instances differ at the end")
    return violations


def check_always_fresh(history: list[Event], from_s: float) -> list[str]:
    """Return observations of stale instances from ``from_s`` on."""
    return [
        f"t={event['t']}: {name} is not fresh"
        for event in history
        if event["kind"] == "observe" and event["t"] >= from_s
        for name, fresh, _, _ in event["nodes"]
        if not fresh
    ]


def check_all(history: list[Event]) -> list[str]:
    """Run the checks that every history must pass; return all violations."""
    restored = any(e["kind"] == "restore" for e in history)
    return (
        check_owners(history)
        + check_reverts(history)
        + check_accepted(history)
        + check_rejected(history)
        + check_withdrawals(history, 5.0 if restored else 2.1)
        + check_recovery(history)
    )
