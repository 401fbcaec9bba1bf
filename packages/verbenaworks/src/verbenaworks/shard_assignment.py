"""Decisions about the control record: shard owners and writers."""

import hashlib
from collections.abc import Collection, Mapping
from dataclasses import replace

from verbenaworks.control_record import (
    ControlRecord,
    InstanceId,
    ShardOwner,
    Writer,
)
from verbenaworks.member import Member, MemberState

Members = Mapping[str, Member]


def rendezvous_owner(shard: int, names: Collection[str]) -> str | None:
    """Return the name with the highest hash for the shard."""
    return max(names, key=lambda name: _weight(shard, name), default=None)


def is_lost(instance: InstanceId, members: Members) -> bool:
    """Return whether this run of the instance is known to have ended."""
    member = members.get(instance.name)
    return (
        member is None
        or not member.is_running
        or member.incarnation != instance.incarnation
    )


def is_leaving(instance: InstanceId, members: Members) -> bool:
    """Return whether this run of the instance is shutting down."""
    member = members.get(instance.name)
    return member is not None and member.state is MemberState.LEAVING


def assign_shards(
    control: ControlRecord,
    members: Members,
    released: Collection[tuple[int, int]],
    overdue: Collection[InstanceId],
) -> ControlRecord:
    """Return the record with a live owner for each shard.

    :param released: (shard, epoch) pairs on which the owner stopped acting.
    :param overdue: instances that have been leaving for too long to wait
        for their release.
    """
    names = [name for name, m in members.items() if m.is_available]
    shards: list[ShardOwner | None] = []
    for shard, owner in enumerate(control.shards):
        handed_over = owner is not None and (shard, owner.epoch) in released
        keeps = owner is not None and not (
            handed_over
            or is_lost(owner.instance, members)
            or owner.instance in overdue
        )
        name = None if keeps else rendezvous_owner(shard, names)
        if name is None:
            shards.append(owner)
            continue
        shards.append(
            ShardOwner(
                instance=InstanceId(
                    name=name, incarnation=members[name].incarnation
                ),
                epoch=1 if owner is None else owner.epoch + 1,
                handed_over=handed_over,
            )
        )
    return replace(control, shards=tuple(shards))


def replace_writers(
    control: ControlRecord, members: Members, own: Writer
) -> ControlRecord:
    """Return the record with one live writer per region.

    A region without an available instance has no writer. The instance that
    calls this stays on the list, so that the list is never empty.

    :param own: the calling instance.
    """
    chosen = {own.region: own}
    for writer in control.writers:
        if not _is_replaceable(writer.instance, members):
            chosen.setdefault(writer.region, writer)
    for member in sorted(members.values(), key=lambda m: m.name):
        if member.is_available and member.fresh:
            chosen.setdefault(
                member.region,
                Writer(
                    instance=InstanceId(
                        name=member.name, incarnation=member.incarnation
                    ),
                    region=member.region,
                ),
            )
    writers = tuple(chosen[region] for region in sorted(chosen))
    if set(writers) == set(control.writers) and control.takeover is None:
        return control
    return replace(
        control,
        writers=writers,
        writers_version=control.writers_version + 1,
        takeover=None,
    )


def merge_control(ours: ControlRecord, other: ControlRecord) -> ControlRecord:
    """Combine two records that diverged when the store was restored.

    Epochs never go back. If both records gave the same epoch to different
    owners, the shard gets a new epoch.
    """
    newest = max(ours, other, key=lambda record: record.writers_version)
    return replace(
        newest,
        writers_version=newest.writers_version
        + (ours.writers != other.writers),
        shards=tuple(
            _merge_owner(mine, theirs)
            for mine, theirs in zip(ours.shards, other.shards, strict=True)
        ),
    )


def _merge_owner(
    mine: ShardOwner | None, theirs: ShardOwner | None
) -> ShardOwner | None:
    if mine is None or theirs is None:
        return mine or theirs
    if mine.epoch != theirs.epoch:
        return max(mine, theirs, key=lambda owner: owner.epoch)
    if mine.instance == theirs.instance:
        return mine
    return replace(mine, epoch=mine.epoch + 1, handed_over=False)


def _is_replaceable(instance: InstanceId, members: Members) -> bool:
    return is_lost(instance, members) or is_leaving(instance, members)


def _weight(shard: int, name: str) -> bytes:
    return hashlib.blake2b(f"{shard}/{name}".encode(), digest_size=8).digest()
