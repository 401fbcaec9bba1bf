"""Checkers of agreement histories.

They read only the recorded events and share no code with the product. Each
returns a list of violations in words.
"""

from typing import Any

Event = dict[str, Any]


def check_owners(history: list[Event]) -> list[str]:
    """Return moments at which two instances could act for one shard."""
    found = []
    for event in history:
        if event["kind"] != "observe":
            continue
        owners: dict[int, str] = {}
        for name, _, _, leases in event["nodes"]:
            for shard, epoch in leases:
                if shard in owners:
                    found.append(
                        f"t={event['t']}: shard {shard} has owners "
                        f"{owners[shard]} and {name} (epoch {epoch})"
                    )
                owners[shard] = name
    return found


def check_reverts(history: list[Event]) -> list[str]:
    """Return edits that an instance had applied and then lost.

    An edit that took effect within 3 s of the store being restored, before
    or after, is excused for 6 s: the writer that repairs the store may not
    have known it. ``check_accepted`` requires that it comes back.
    """
    found = []
    excused = _edits_near_restore(history)
    held: dict[tuple[str, int], Event] = {}
    for event in history:
        if event["kind"] != "apply":
            continue
        run = (event["node"], event["incarnation"])
        before = held.get(run)
        held[run] = event
        if len(set(event["edits"])) != len(event["edits"]):
            found.append(f"t={event['t']}: an edit is applied twice")
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
            found.append(f"t={event['t']}: {run} lost {sorted(lost)}")
        if event["sequence"] <= before["sequence"]:
            found.append(f"t={event['t']}: {run} went back in sequence")
        if event["config_revision"] < before["config_revision"]:
            found.append(f"t={event['t']}: {run} went back in revision")
    return found


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
    """Return accepted edits that are missing at the end, anywhere.

    An edit that a restored store had lost is excused if the writer that
    accepted it stopped within 10 s of accepting it: then nobody may be left
    who knows the edit.
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
    found = []
    for edit, event in accepted.items():
        stopped = kills.get((event["node"], event["incarnation"]))
        if restored and stopped and stopped < event["t"] + 10.0:
            continue
        for name, _, edits, _ in final["nodes"]:
            if edit not in edits:
                found.append(f"accepted {edit} is missing at {name}")
            if edits.count(edit) > 1:
                found.append(f"accepted {edit} is applied twice at {name}")
    return found


def check_rejected(history: list[Event]) -> list[str]:
    """Return edits that took effect although a refusal was reported.

    An edit that was submitted again after the refusal is left out.
    """
    found = []
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
                    found.append(f"rejected {edit} took effect")
    return sorted(set(found))


def check_withdrawals(history: list[Event], limit_s: float = 5.0) -> list[str]:
    """Return fresh instances that lack an edit ``limit_s`` after its effect.

    Every edit stands for the withdrawal of a key. While a restored store
    does not hold an edit, its time stands still; it starts again when the
    edit is written back.
    """
    found = []
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
                held = set(edits)
                for edit, since_s in effect_s.items():
                    if event["t"] > since_s + limit_s and edit not in held:
                        found.append(
                            f"t={event['t']}: fresh {name} lacks {edit}, in "
                            f"effect since {since_s}"
                        )
    return found


def check_recovery(history: list[Event]) -> list[str]:
    """Return what does not work at the end, after all faults have ended."""
    final = [e for e in history if e["kind"] == "observe"][-1]
    found = [
        f"{name} is not fresh at the end"
        for name, fresh, _, _ in final["nodes"]
        if not fresh
    ]
    owned = {shard for node in final["nodes"] for shard, _ in node[3]}
    if len(owned) != 16:
        found.append(f"only {len(owned)} shards have a valid owner")
    if len({edits for _, _, edits, _ in final["nodes"]}) != 1:
        found.append("instances differ at the end")
    return found


def check_always_fresh(history: list[Event], from_s: float) -> list[str]:
    """Return moments after ``from_s`` at which an instance was not fresh."""
    return [
        f"t={event['t']}: {name} is not fresh"
        for event in history
        if event["kind"] == "observe" and event["t"] >= from_s
        for name, fresh, _, _ in event["nodes"]
        if not fresh
    ]


def check_all(history: list[Event]) -> list[str]:
    """Return the violations that every history must be free of."""
    restored = any(e["kind"] == "restore" for e in history)
    return (
        check_owners(history)
        + check_reverts(history)
        + check_accepted(history)
        + check_rejected(history)
        + check_withdrawals(history, 5.0 if restored else 2.1)
        + check_recovery(history)
    )
