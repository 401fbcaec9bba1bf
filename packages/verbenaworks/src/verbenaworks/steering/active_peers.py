"""Which instances serve requests, and so must know of one another's load.

In a large fleet most instances are in reserve: they get no requests, and
neither their load nor their use of rates needs to be known. Only those that
serve exchange full reports; the others get a short sign of life now and then,
so that they can name the right instances to callers.
"""

from collections.abc import Iterable

from verbenaworks.steering.instance_record import InstanceRecord

# In a fleet of up to this size all instances exchange reports all the time.
SMALL_FLEET_MAX_INSTANCES = 16
# Instances outside the own region that get a sign of life in each round.
DISTANT_BEATS = 20


class ActivePeers:
    """Registered instances, and which of them serve requests.

    :param own: this instance.
    """

    def __init__(self, own: InstanceRecord) -> None:
        self._own = own
        self._registered: dict[str, InstanceRecord] = {}
        self._active: set[str] = set()
        self._missing: dict[str, frozenset[str]] = {}
        self._next_distant = 0

    def set_registered(self, records: Iterable[InstanceRecord]) -> None:
        """Replace the registered instances other than this one."""
        held = self._registered
        self._registered = {record.name: record for record in records}
        for name in list(self._active):
            record = self._registered.get(name)
            if record is None or record != held[name]:
                # A new run is in reserve until it says otherwise.
                self._active.discard(name)
                self._missing.pop(name, None)

    def record_report(
        self, name: str, *, active: bool, missing: Iterable[str] = ()
    ) -> bool:
        """Enter what an instance says of itself; true if it is new here.

        :param missing: serving instances that it cannot hear.
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

    @property
    def is_small_fleet(self) -> bool:
        """Whether all instances take part in the exchange."""
        return len(self._registered) + 1 <= SMALL_FLEET_MAX_INSTANCES

    @property
    def report_recipients(self) -> list[InstanceRecord]:
        """Return the other instances that get full reports."""
        if self.is_small_fleet:
            return list(self._registered.values())
        return [self._registered[name] for name in sorted(self._active)]

    @property
    def members(self) -> frozenset[str]:
        """Return the instances that may use rates, this one included.

        Those that a serving instance misses count too: they may be on the
        other side of a cut.
        """
        if self.is_small_fleet:
            return frozenset({*self._registered, self._own.name})
        if not self._active:
            # Nothing is known of the others.
            return frozenset({*self._registered, self._own.name})
        missed = (
            name
            for names in self._missing.values()
            for name in names
            if name in self._registered
        )
        return frozenset({*self._active, *missed, self._own.name})

    def heartbeat_recipients(self) -> list[InstanceRecord]:
        """Return who gets a sign of life next.

        All instances of the own region, which name this one to callers, and
        some of the others by turns.
        """
        if self.is_small_fleet:
            return []
        idle = [
            record
            for name, record in sorted(self._registered.items())
            if name not in self._active
        ]
        near = [r for r in idle if r.region == self._own.region]
        distant = [r for r in idle if r.region != self._own.region]
        if len(distant) <= DISTANT_BEATS:
            return near + distant
        start = self._next_distant % len(distant)
        self._next_distant = start + DISTANT_BEATS
        turned = distant[start:] + distant[:start]
        return near + turned[:DISTANT_BEATS]
