"""Runs the daemon's exchange of budgets in the virtual time of the model.

The budget owners and clients, the demand and the division of grants are the
daemon's own code: ``BudgetLoop`` and ``ServiceScheduler``. Only the bus, the
control record and the clock are modelled.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from standins.compiled_changes import compile_changes
from standins.deployment_settings import (
    build_deployment_settings,
    list_targets,
)
from standins.deployments import Deployment
from verbenad.budget_loop import TICK_S, BudgetLoop
from verbenad.bus import Sender
from verbenad.directory import OwnerView
from verbenad.service_scheduler import DEMAND_PERIOD_S, ServiceScheduler
from verbenaworks.budget_spec import PREVIOUS_OWNER_WAIT_S
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.control_record import SHARD_COUNT, InstanceId
from verbenaworks.edit import CreateBranch, SetValue
from verbenaworks.shard_assignment import rendezvous_owner
from verbenaworks.targets_by_distance import Location

# Time from the death of an owner until its successor knows that it owns the
# shard. measure_budgets.py uses the same value.
TAKEOVER_S = 2.0

After = Callable[[float, Callable[[], None]], None]


def model_config(
    deployment: Deployment,
    deadlines_s: Mapping[str, float],
    headroom_share: float,
) -> CompiledConfig:
    """Return the configuration of a deployment, without workspaces."""
    ports = {name: 1 for name, _, _ in list_targets(deployment)}
    branches = build_deployment_settings(deployment, ports).branches
    changes: list[CreateBranch | SetValue] = []
    for path, fields in branches.items():
        kind = path.split("/")[1]
        if kind not in ("regions", "services"):
            continue
        changes.append(CreateBranch(path=path))
        values = dict(fields)
        if kind == "regions":
            values["headroom_share"] = headroom_share
        elif path.count("/") == 2:
            values["deadline_s"] = deadlines_s[path.rpartition("/")[2]]
        changes += [
            SetValue(path=path, field=name, value=value)
            for name, value in values.items()
        ]
    return compile_changes(changes)


@dataclass(frozen=True, kw_only=True)
class _Lease:
    fleet: "ExchangeFleet"
    name: str
    epoch: int
    valid_from_s: float

    def is_valid(self, now_s: float) -> bool:
        return now_s >= self.valid_from_s and self.name not in self.fleet.dead


class ExchangeFleet:
    """Budget owners, budget clients and messages of all instances.

    :param after: schedules an action in virtual time.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        config: CompiledConfig,
        locations: list[Location],
        now_s: Callable[[], float],
        after: After,
    ) -> None:
        self.deployment = deployment
        self.locations = {
            location.instance: location for location in locations
        }
        self.now_s = now_s
        self.after = after
        self.dead: set[str] = set()
        self.sent = 0
        self.epoch = 1
        self._detected_dead: set[str] = set()
        self._leases: dict[int, _Lease] = {}
        self._assign_shards(valid_from_s=0.0)
        self.members = {
            location.instance: ExchangeInstance(self, location, config)
            for location in locations
        }
        for member in self.members.values():
            member.scheduler.set_instances(
                {p.instance: p.region for p in self.locations.values()}
            )

    def kill_instances(self, names: set[str]) -> None:
        """Kill instances; their shards get new owners after a delay."""
        self.dead |= names
        self.after(TAKEOVER_S, self._reassign_shards)

    def lease(self, shard: int) -> _Lease:
        """Return the newest lease on a shard."""
        return self._leases[shard]

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return the one-way delay between two instances."""
        a, b = self.locations[sender], self.locations[receiver]
        if a.region != b.region:
            return self.deployment.region_delay_s
        if a.failure_domain != b.failure_domain:
            return self.deployment.domain_delay_s
        return 0.0 if sender == receiver else 0.0002

    def _reassign_shards(self) -> None:
        self._detected_dead = set(self.dead)
        self._assign_shards(valid_from_s=self.now_s() + PREVIOUS_OWNER_WAIT_S)
        regions = {
            name: location.region
            for name, location in self.locations.items()
            if name not in self.dead
        }
        for name in regions:
            self.members[name].scheduler.set_instances(regions)

    def _assign_shards(self, valid_from_s: float) -> None:
        alive = [n for n in self.locations if n not in self._detected_dead]
        for shard in range(SHARD_COUNT):
            lease = self._leases.get(shard)
            if lease and lease.name not in self._detected_dead:
                continue
            name = rendezvous_owner(shard, alive)
            if name is None:
                raise ValueError("no instance is alive")
            self._leases[shard] = _Lease(
                fleet=self,
                name=name,
                epoch=lease.epoch + 1 if lease else 1,
                valid_from_s=valid_from_s,
            )


class InstanceTimer:
    """A callback that can be cancelled."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent the call."""
        self._callback = None

    def fire(self) -> None:
        """Call the callback unless it was cancelled."""
        if self._callback is not None:
            self._callback()


class InstanceTimers:
    """Timers of one instance in the model's virtual time.

    Timers of a dead instance do not fire.
    """

    def __init__(self, fleet: ExchangeFleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def now_s(self) -> float:
        """Return the model's time."""
        return self._fleet.now_s()

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> InstanceTimer:
        """Call the callback once after a delay."""
        timer = InstanceTimer(callback)

        def fire() -> None:
            if self._name not in self._fleet.dead:
                timer.fire()

        self._fleet.after(delay_s, fire)
        return timer


class ExchangeInstance:
    """The budget loop and the service scheduler of one instance."""

    def __init__(
        self, fleet: ExchangeFleet, location: Location, config: CompiledConfig
    ) -> None:
        self._fleet = fleet
        self._name = location.instance
        self._handlers: dict[type, Callable[[Sender, Any], None]] = {}
        self.on_granted: Callable[[], None] = lambda: None
        self.loop = BudgetLoop(
            instance=InstanceId(name=location.instance, incarnation=1),
            agreement=self,  # type: ignore[arg-type]
            bus=self,  # type: ignore[arg-type]
            directory=self,
            timers=InstanceTimers(fleet, location.instance),
            on_granted=lambda: self.on_granted(),
        )
        self.scheduler = ServiceScheduler(
            place=location,
            loop=self.loop,
            now_s=fleet.now_s,
            random=Random(location.instance),
        )
        self.loop.set_config(config)
        self.scheduler.set_config(config)
        # Spread the ticks of the instances over the period.
        phase = list(fleet.locations).index(location.instance) / len(
            fleet.locations
        )
        fleet.after(phase * TICK_S, self.loop.start)
        fleet.after(phase * DEMAND_PERIOD_S, self._update_demand)

    # Methods of the agreement that the budget loop uses

    def lease(self, shard: int) -> _Lease | None:
        """Return this instance's lease on a shard."""
        lease = self._fleet.lease(shard)
        return lease if lease.name == self._name else None

    # Methods of the directory that the budget loop uses

    def owner(self, shard: int) -> OwnerView | None:
        """Return the owner of a shard."""
        lease = self._fleet.lease(shard)
        return OwnerView(
            bus_address=lease.name,
            epoch=lease.epoch,
            is_self=lease.name == self._name,
        )

    def peers(self) -> list[str]:
        """Return the other instances."""
        return [n for n in self._fleet.locations if n != self._name]

    # Methods of the bus that the budget loop uses

    def subscribe(
        self, kind: type, handler: Callable[[Sender, Any], None]
    ) -> None:
        """Register the handler for messages of one type."""
        self._handlers[kind] = handler

    def send(self, address: str, message: Any) -> None:
        """Deliver a message after the delay between the instances."""
        fleet = self._fleet
        fleet.sent += 1

        def deliver() -> None:
            if fleet.dead.isdisjoint((address, self._name)):
                handler = fleet.members[address]._handlers[type(message)]
                handler(Sender(address=self._name, name=self._name), message)

        fleet.after(fleet.delay_s(self._name, address), deliver)

    def _update_demand(self) -> None:
        if self._name not in self._fleet.dead:
            self._fleet.after(DEMAND_PERIOD_S, self._update_demand)
            self.scheduler.update_demand()
