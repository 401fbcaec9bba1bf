"""Validation rules between the values of a settings tree."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from verbenaworks.errors import EditRefused
from verbenaworks.settings_path import level_of, parent_of, path_names
from verbenaworks.settings_schema import (
    BURST_MIN_S,
    FIELDS,
    required_fields,
)
from verbenaworks.value_kind import Reference, ReferenceList

if TYPE_CHECKING:
    from verbenaworks.settings_tree import SettingsTree


def find_violation(tree: SettingsTree) -> EditRefused | None:
    """Return a refusal for the first violated rule, or None."""
    for rule in (
        _parents,
        _required_values,
        _references,
        _block_sites,
        _overridden_services,
        _unique_values,
        _burst_sizes,
        _traffic_shifts,
        _region_slots,
        _writing_operators,
    ):
        for refusal in rule(tree):
            return refusal
    return None


def _parents(tree: SettingsTree) -> Iterator[EditRefused]:
    for path in tree.paths():
        parent = parent_of(path)
        if parent is not None and parent not in tree:
            yield EditRefused(
                "unknown-path",
                f"{path} is in {parent}, which does not exist",
                f"create {parent} first",
            )


def _required_values(tree: SettingsTree) -> Iterator[EditRefused]:
    for path in tree.paths():
        for field in required_fields(level_of(path).unwrap()):
            if field not in tree.own_values(path):
                yield EditRefused(
                    "missing-value",
                    f"{path} needs a value for {field}",
                    "set it in the same edit",
                )


def _references(tree: SettingsTree) -> Iterator[EditRefused]:
    for path in tree.paths():
        for field, value in tree.own_values(path).items():
            spec = FIELDS.get(field)
            match spec.kind if spec is not None else None:
                case Reference(collection=collection):
                    names: tuple[str, ...] = (str(value),)
                case ReferenceList(collection=collection):
                    names = value if isinstance(value, tuple) else ()
                case _:
                    continue
            for name in names:
                if name != "*" and f"/{collection}/{name}" not in tree:
                    yield _dangling_reference(
                        f"{field} of {path}", f"/{collection}/{name}"
                    )


def _block_sites(tree: SettingsTree) -> Iterator[EditRefused]:
    for site in sorted(tree.blocks.used_sites):
        if f"/sites/{site}" not in tree:
            yield _dangling_reference("a client block", f"/sites/{site}")


def _overridden_services(tree: SettingsTree) -> Iterator[EditRefused]:
    for path in tree.paths():
        if level_of(path).ok() == "workspace-service":
            service = f"/services/{path_names(path)[1]}"
            if service not in tree:
                yield _dangling_reference(path, service)


def _dangling_reference(source: str, missing: str) -> EditRefused:
    return EditRefused(
        "dangling-reference",
        f"{source} refers to {missing}, which does not exist",
        f"create {missing} first, or change what refers to it",
    )


def _unique_values(tree: SettingsTree) -> Iterator[EditRefused]:
    """Check that hosts and key ids are unique."""
    seen: dict[str, str] = {}
    for path in tree.paths():
        match level_of(path).ok():
            case "key":
                value = f"key id {path_names(path)[1]}"
            case "service" if "host" in tree.own_values(path):
                value = f"host {tree.own_values(path)['host']}"
            case _:
                continue
        if value in seen:
            yield EditRefused(
                "duplicate",
                f"{path} and {seen[value]} have the same {value}",
                "choose another one",
            )
        seen[value] = path


def _burst_sizes(tree: SettingsTree) -> Iterator[EditRefused]:
    for name in tree.names("/workspaces"):
        path = f"/workspaces/{name}"
        rate_per_s = tree.value(path, "rate_per_s")
        burst = tree.value(path, "burst")
        # A token bucket of less than one token never admits a request.
        min_burst = max(1.0, BURST_MIN_S * rate_per_s) if rate_per_s else 0.0
        if burst < min_burst:
            yield EditRefused(
                "burst-too-small",
                f"burst = {burst:g} of {path} is too small for "
                f"rate_per_s = {rate_per_s:g}",
                f"set burst to at least {min_burst:g} ({BURST_MIN_S} s of the "
                "rate, and 1)",
            )


def _traffic_shifts(tree: SettingsTree) -> Iterator[EditRefused]:
    for name in tree.names("/shifts"):
        path = f"/shifts/{name}"
        cap_share = tree.value(path, "cap_share")
        step_share = tree.value(path, "step_share")
        if step_share > cap_share:
            yield EditRefused(
                "step-above-cap",
                f"step_share = {step_share:g} of {path} is above "
                f"cap_share = {cap_share:g}",
                "lower step_share or raise cap_share",
            )
        if tree.value(path, "from_region") == tree.value(path, "to_region"):
            yield EditRefused(
                "same-region",
                f"{path} has the same from_region and to_region",
                "choose two regions",
            )


def _region_slots(tree: SettingsTree) -> Iterator[EditRefused]:
    slots: Counter[str] = Counter()
    for path in tree.paths():
        if level_of(path).ok() == "target":
            slots[tree.value(path, "region")] += tree.value(path, "slots")
    for region in sorted(slots):
        slot_limit = tree.value(f"/regions/{region}", "slot_limit")
        if slots[region] > slot_limit:
            yield EditRefused(
                "slots-above-limit",
                f"the targets in /regions/{region} have {slots[region]} "
                f"slots, more than slot_limit = {slot_limit}",
                "lower the slots of targets or raise slot_limit",
            )


def _writing_operators(tree: SettingsTree) -> Iterator[EditRefused]:
    """Check that at least one operator may change the configuration."""
    paths = [f"/operators/{name}" for name in tree.names("/operators")]
    if paths and all(tree.value(path, "role") == "read" for path in paths):
        yield EditRefused(
            "no-writer",
            "no operator would have the role write",
            "keep or create an operator with the role write",
        )
