"""Which instances serve requests and therefore exchange full reports.

In a large fleet most instances are on standby: they get few requests. Only
instances that serve requests regularly exchange full reports. The others get a
short heartbeat now and then, so that they can direct callers to the right
instances and know which ones to ask about the rates of workspaces.
"""

from collections.abc import Iterable

from verbenaworks.steering.instance_record import InstanceRecord

# In a fleet of up to this size all instances exchange full reports.
SMALL_FLEET_MAX_INSTANCES = 16
# Instances outside the local region that get a heartbeat in each round.
REMOTE_HEARTBEATS_PER_ROUND = 20


class ActivePeers:
    """Registered instances, and which of them serve requests.

    :param own: registration of this instance.
    """

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._registered: dict[str, InstanceRecord] = {}
        self._active: set[str] = set()
        self._serving: frozenset[str] = frozenset()
        self._missing: dict[str, frozenset[str]] = {}
        self._next_remote = 0

    def set_registered(self, records: Iterable[InstanceRecord]) -> None:
        """Replace the registered instances other than this one."""
        previous = self._registered
        self._registered = {record.name: record for record in records}
        for name in list(self._active):
            record = self._registered.get(name)
            if record is None or record != previous[name]:
                # A new incarnation is on standby until it reports otherwise.
                self._active.discard(name)
                self._missing.pop(name, None)

    def record_report(
        self, name: str, *, active: bool, missing: Iterable[str] = ()
    ) -> bool:
        """Record whether an instance is active; true if it has just become so.

        :param missing: active instances that it cannot reach.
        """
        if name not in self._registered:
            return False
        if not active:
            self._active.discard(name)
            self._missing.pop(name, None)
            return False
        is_new = name not in self._active
        self._active.add(name)
        self._missing[name] = frozenset(missing)
        return is_new

    def set_serving(self, names: frozenset[str]) -> None:
        """Set the instances that callers should use.

        They count as active although they have not reported yet.
        """
        self._serving = names

    @property
    def is_small_fleet(self) -> bool:
        """Whether all instances exchange full reports."""
        return len(self._registered) + 1 <= SMALL_FLEET_MAX_INSTANCES

    @property
    def active_names(self) -> frozenset[str]:
        """Return the other instances that are known to serve requests."""
        if self.is_small_fleet:
            return frozenset(self._registered)
        return frozenset(self._active)

    @property
    def report_recipients(self) -> list[InstanceRecord]:
        """Return the other instances that get full reports."""
        if self.is_small_fleet:
            return list(self._registered.values())
        return [self._registered[name] for name in sorted(self._active)]

    @property
    def members(self) -> frozenset[str]:
        """Return the instances that may accept requests, this one included.

        Instances that an active instance reports as missing count too: they
        may be on the other side of a network partition.
        """
        if self.is_small_fleet:
            return frozenset({*self._registered, self._own.name})
        serving = self._serving & set(self._registered)
        if not self._active and not serving:
            # Without any report, all the others may be active.
            return frozenset({*self._registered, self._own.name})
        missing = (
            name
            for names in self._missing.values()
            for name in names
            if name in self._registered
        )
        return frozenset({*self._active, *serving, *missing, self._own.name})

    def heartbeat_recipients(self) -> list[InstanceRecord]:
        """Return the instances that get the next heartbeat.

        These are all standby instances of the local region, which direct
        callers to this one, and some of the other regions in turn.
        """
        if self.is_small_fleet:
            return []
        standby = [
            record
            for name, record in sorted(self._registered.items())
            if name not in self._active
        ]
        local = [r for r in standby if r.region == self._own.region]
        remote = [r for r in standby if r.region != self._own.region]
        if len(remote) <= REMOTE_HEARTBEATS_PER_ROUND:
            return local + remote
        start = self._next_remote % len(remote)
        self._next_remote = start + REMOTE_HEARTBEATS_PER_ROUND
        rotated = remote[start:] + remote[:start]
        return local + rotated[:REMOTE_HEARTBEATS_PER_ROUND]
