"""Which instances callers should use."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.serving_set import serving_set

# Registrations that expired while the store was away are renewed within two
# seconds of its return.
LAPSE_GRACE_S = 2.5
# An instance that reported to serve requests and is silent for this long is
# not named; its registration ends later.
SILENT_S = 2.0
MAX_ADDRESSES = 64
# A peak of a region's load is remembered with this time constant, so that
# instances are not left and named again with every wave.
PEAK_FADES_S = 20.0


@dataclass(kw_only=True, slots=True)
class _Member:
    record: InstanceRecord
    heard_at_s: float | None = None
    usable: bool = True
    leaving: bool = False
    load: float = 0.0
    drop_at_s: float | None = None


@dataclass(kw_only=True, slots=True)
class _Peak:
    load: float
    at_s: float


class InstanceDirectory:
    """Registered instances and what is heard of them.

    :param own: this instance.
    """

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._members: dict[str, _Member] = {}
        self._peaks: dict[str, _Peak] = {}
        self._back_at_s = float("-inf")

    def record_store_recovery(self, now_s: float) -> None:
        """Enter that the store answers again after an outage."""
        self._back_at_s = now_s

    def register(self, record: InstanceRecord) -> None:
        """Enter a registration."""
        held = self._members.get(record.name)
        if held is not None and held.record == record:
            held.drop_at_s = None
            return
        if record.name != self._own.name:
            self._members[record.name] = _Member(record=record)

    def remove(self, now_s: float, name: str) -> None:
        """Enter that a registration ended."""
        member = self._members.get(name)
        if member is None:
            return
        grace_end_s = self._back_at_s + LAPSE_GRACE_S
        if now_s < grace_end_s and not member.leaving:
            member.drop_at_s = grace_end_s
            return
        del self._members[name]

    def remove_unlisted(self, now_s: float, names: Iterable[str]) -> None:
        """Remove all registrations that a complete listing does not name."""
        listed = set(names)
        for name in [n for n in self._members if n not in listed]:
            self.remove(now_s, name)

    def expire(self, now_s: float) -> None:
        """Remove registrations whose grace has ended."""
        for name, member in list(self._members.items()):
            if member.drop_at_s is not None and now_s >= member.drop_at_s:
                del self._members[name]

    @property
    def next_expiry_s(self) -> float | None:
        """When the first grace ends; none if there is none."""
        drops_s = [m.drop_at_s for m in self._members.values() if m.drop_at_s]
        return min(drops_s, default=None)

    def record_heartbeat(
        self,
        now_s: float,
        name: str,
        incarnation: int,
        *,
        usable: bool,
        leaving: bool,
        active: bool = True,
        load: float = 0.0,
    ) -> bool:
        """Enter a sign of life; false if the sender is not registered.

        :param usable: whether it can serve requests that carry keys.
        :param leaving: whether it is shutting down.
        :param active: whether it serves requests, and so reports often.
        :param load: capacity that its requests use.
        """
        member = self._members.get(name)
        if member is None or member.record.incarnation != incarnation:
            return False
        member.heard_at_s = now_s if active else None
        member.load = load
        member.usable = usable
        member.leaving = member.leaving or leaving
        return True

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the registered instances, this one included."""
        return tuple(sorted({*self._members, self._own.name}))

    @property
    def peers(self) -> tuple[InstanceRecord, ...]:
        """Registered instances other than this one."""
        return tuple(m.record for m in self._members.values())

    def peer(self, name: str) -> InstanceRecord | None:
        """Return another registered instance."""
        member = self._members.get(name)
        return member.record if member else None

    def addresses(
        self,
        now_s: float,
        *,
        region: str,
        home_regions: frozenset[str],
        own_usable: bool,
        own_leaving: bool,
        own_load: float = 0.0,
    ) -> list[str]:
        """Return the addresses that a caller should use.

        Instances in the caller's region come alone, where there are any, then
        those in its home regions, then all. Of these, as many are named as
        the load needs.

        :param region: region of the caller.
        :param home_regions: regions in which its requests may run.
        """
        own = _Member(
            record=self._own,
            heard_at_s=now_s,
            usable=own_usable,
            leaving=own_leaving,
            load=own_load,
        )
        present = [m for m in (own, *self._members.values()) if not m.leaving]
        alive = [m for m in present if self._is_heard(now_s, m)] or present
        chosen = [m for m in alive if m.usable] or alive
        near = [m for m in chosen if m.record.region == region]
        if not near and home_regions:
            near = [m for m in chosen if m.record.region in home_regions]
        named = near or chosen
        load = self._peak(now_s, region, sum(m.load for m in named))
        records = serving_set([m.record for m in named], load)
        return sorted(r.caller_address for r in records[:MAX_ADDRESSES])

    def _peak(self, now_s: float, region: str, load: float) -> float:
        """Return the load of a region, or its fading peak."""
        held = self._peaks.get(region)
        if held is not None:
            kept = math.exp(-(now_s - held.at_s) / PEAK_FADES_S)
            load = max(load, held.load * kept)
        self._peaks[region] = _Peak(load=load, at_s=now_s)
        return load

    def _is_heard(self, now_s: float, member: _Member) -> bool:
        if member.heard_at_s is None:
            # In reserve, or registered so recently that nothing was heard.
            return True
        return now_s - member.heard_at_s <= SILENT_S
