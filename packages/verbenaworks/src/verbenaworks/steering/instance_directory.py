"""Registered instances, and which of them callers should use."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.serving_set import serving_set

# Registrations that expired during an outage of the store are renewed within
# two seconds of its recovery.
EXPIRY_GRACE_S = 2.5
# An active instance without a heartbeat for this long is not offered to
# callers; its registration expires later.
HEARTBEAT_TIMEOUT_S = 2.0
MAX_ADDRESSES = 64
# The peak of a region's load decays with this time constant, so that short
# changes of the load do not add and remove instances.
PEAK_DECAY_S = 20.0


@dataclass(kw_only=True, slots=True)
class _Member:
    record: InstanceRecord
    last_heartbeat_s: float | None = None
    usable: bool = True
    leaving: bool = False
    load: float = 0.0
    remove_at_s: float | None = None


@dataclass(kw_only=True, slots=True)
class _Peak:
    load: float
    at_s: float


class InstanceDirectory:
    """Registered instances and their last heartbeats.

    :param own: registration of this instance.
    """

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._members: dict[str, _Member] = {}
        self._peaks: dict[str, _Peak] = {}
        self._store_recovered_at_s = float("-inf")

    def record_store_recovery(self, now_s: float) -> None:
        """Record that the store responds again after an outage."""
        self._store_recovered_at_s = now_s

    def register(self, record: InstanceRecord) -> None:
        """Add or update a registration."""
        member = self._members.get(record.name)
        if member is not None and member.record == record:
            member.remove_at_s = None
            return
        if record.name != self._own.name:
            self._members[record.name] = _Member(record=record)

    def remove(self, now_s: float, name: str) -> None:
        """Record that a registration is gone.

        Soon after an outage of the store it is kept for a grace period,
        because it may only have expired.
        """
        member = self._members.get(name)
        if member is None:
            return
        grace_end_s = self._store_recovered_at_s + EXPIRY_GRACE_S
        if now_s < grace_end_s and not member.leaving:
            member.remove_at_s = grace_end_s
            return
        del self._members[name]

    def remove_unlisted(self, now_s: float, names: Iterable[str]) -> None:
        """Remove all registrations that a complete listing does not name."""
        listed = set(names)
        for name in [n for n in self._members if n not in listed]:
            self.remove(now_s, name)

    def expire(self, now_s: float) -> None:
        """Remove registrations whose grace period has ended."""
        for name, member in list(self._members.items()):
            if member.remove_at_s is not None and now_s >= member.remove_at_s:
                del self._members[name]

    @property
    def next_expiry_s(self) -> float | None:
        """End of the first grace period; none if there is none."""
        removals_s = [
            m.remove_at_s for m in self._members.values() if m.remove_at_s
        ]
        return min(removals_s, default=None)

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
        """Record a heartbeat; false if the sender is not registered.

        :param usable: whether it can serve requests that carry keys.
        :param leaving: whether it is shutting down.
        :param active: whether it serves requests, and so sends heartbeats
            often.
        :param load: capacity that its requests use.
        """
        member = self._members.get(name)
        if member is None or member.record.incarnation != incarnation:
            return False
        member.last_heartbeat_s = now_s if active else None
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

        These are instances in the caller's region, if there are any;
        otherwise instances in the home regions, if there are any; otherwise
        instances in all regions. The load determines how many of them.

        :param region: region of the caller.
        :param home_regions: regions in which its requests may run.
        """
        own = _Member(
            record=self._own,
            last_heartbeat_s=now_s,
            usable=own_usable,
            leaving=own_leaving,
            load=own_load,
        )
        present = [m for m in (own, *self._members.values()) if not m.leaving]
        alive = [m for m in present if self._is_reachable(now_s, m)] or present
        chosen = [m for m in alive if m.usable] or alive
        regional = [m for m in chosen if m.record.region == region]
        if not regional and home_regions:
            regional = [m for m in chosen if m.record.region in home_regions]
        candidates = regional or chosen
        load = self._peak(now_s, region, sum(m.load for m in candidates))
        records = serving_set([m.record for m in candidates], load)
        return sorted(r.caller_address for r in records[:MAX_ADDRESSES])

    def serving_names(
        self, now_s: float, own_load: float = 0.0
    ) -> frozenset[str]:
        """Return the instances that callers of all regions should use.

        All instances derive them alike from the registrations, so that those
        that serve are known before the first request.
        """
        by_region: dict[str, list[_Member]] = {}
        own = _Member(record=self._own, load=own_load)
        for member in (own, *self._members.values()):
            if not member.leaving:
                by_region.setdefault(member.record.region, []).append(member)
        names: set[str] = set()
        for region, members in by_region.items():
            load = self._peak(now_s, region, sum(m.load for m in members))
            records = serving_set([m.record for m in members], load)
            names.update(record.name for record in records)
        return frozenset(names)

    def _peak(self, now_s: float, region: str, load: float) -> float:
        """Return the load of a region, or its decaying peak if higher."""
        peak = self._peaks.get(region)
        if peak is not None:
            kept = math.exp(-(now_s - peak.at_s) / PEAK_DECAY_S)
            load = max(load, peak.load * kept)
        self._peaks[region] = _Peak(load=load, at_s=now_s)
        return load

    def _is_reachable(self, now_s: float, member: _Member) -> bool:
        if member.last_heartbeat_s is None:
            # On standby, or registered so recently that no heartbeat came.
            return True
        return now_s - member.last_heartbeat_s <= HEARTBEAT_TIMEOUT_S
