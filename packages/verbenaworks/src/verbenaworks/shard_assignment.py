"""Assignment of shard owners and writers in the control record."""

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
    """Return the name with the highest rendezvous hash for the shard."""
    return max(
        names, key=lambda name: _rendezvous_hash(shard, name), default=None
    )


def is_lost(instance: InstanceId, members: Members) -> bool:
    """Return whether this incarnation is unknown, dead or replaced."""
    member = members.get(instance.name)
    return (
        member is None
        or not member.is_running
        or member.incarnation != instance.incarnation
    )


def is_leaving(instance: InstanceId, members: Members) -> bool:
    """Return whether the instance is known to be shutting down."""
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
    :param overdue: instances that have been leaving for so long that their
        release is no longer awaited.
    """
    names = [name for name, m in members.items() if m.is_available]
    shards: list[ShardOwner | None] = []
    for shard, owner in enumerate(control.shards):
        handed_over = owner is not None and (shard, owner.epoch) in released
        is_kept = owner is not None and not (
            handed_over
            or is_lost(owner.instance, members)
            or owner.instance in overdue
        )
        name = None if is_kept else rendezvous_owner(shard, names)
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
    control: ControlRecord, members: Members, own_writer: Writer
) -> ControlRecord:
    """Return the record with one live writer per region.

    A region without an available instance has no writer. The calling
    instance stays on the list, so that the list is never empty.

    :param own_writer: the calling instance.
    """
    by_region = {own_writer.region: own_writer}
    for writer in control.writers:
        if not _is_replaceable(writer.instance, members):
            by_region.setdefault(writer.region, writer)
    for member in sorted(members.values(), key=lambda m: m.name):
        if member.is_available and member.fresh:
            by_region.setdefault(
                member.region,
                Writer(
                    instance=InstanceId(
                        name=member.name, incarnation=member.incarnation
                    ),
                    region=member.region,
                ),
            )
    writers = tuple(by_region[region] for region in sorted(by_region))
    if set(writers) == set(control.writers) and control.takeover is None:
        return control
    return replace(
        control,
        writers=writers,
        writers_version=control.writers_version + 1,
        takeover=None,
    )


def merge_control(local: ControlRecord, other: ControlRecord) -> ControlRecord:
    """Combine two records that diverged when the store was restored.

    Epochs never decrease. If both records gave the same epoch to different
    owners, the shard gets a new epoch.
    """
    newest = max(local, other, key=lambda control: control.writers_version)
    return replace(
        newest,
        writers_version=newest.writers_version
        + (local.writers != other.writers),
        shards=tuple(
            _merge_owner(local_owner, other_owner)
            for local_owner, other_owner in zip(
                local.shards, other.shards, strict=True
            )
        ),
    )


def _merge_owner(
    local: ShardOwner | None, other: ShardOwner | None
) -> ShardOwner | None:
    if local is None or other is None:
        return local or other
    if local.epoch != other.epoch:
        return max(local, other, key=lambda owner: owner.epoch)
    if local.instance == other.instance:
        return local
    return replace(local, epoch=local.epoch + 1, handed_over=False)


def _is_replaceable(instance: InstanceId, members: Members) -> bool:
    return is_lost(instance, members) or is_leaving(instance, members)


def _rendezvous_hash(shard: int, name: str) -> bytes:
    return hashlib.blake2b(f"{shard}/{name}".encode(), digest_size=8).digest()
