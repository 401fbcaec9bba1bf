"""The instances of the fleet: membership, addresses and shard owners."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from verbenad.bus import Bus, Sender
from verbenad.daemon_settings import DaemonSettings
from verbenad.directory import OwnerView
from verbenad.platform_list import ListedInstance
from verbenaworks.admin_messages import InstanceStatus
from verbenaworks.agreement import Agreement
from verbenaworks.control_record import InstanceId
from verbenaworks.entry_lookup import EntryInstance
from verbenaworks.member import Member, MemberState
from verbenaworks.membership import Membership
from verbenaworks.membership_messages import (
    Ack,
    Join,
    MemberList,
    Ping,
    PingVia,
    SendMembershipMessage,
)
from verbenaworks.timers import Timers

TICK_S = 0.1
# A scan of 1,300 members takes about 1 ms, and members report several times a
# second. The scan is needed only for the age that operators see.
HEARD_PERIOD_S = 0.5


class Fleet:
    """Membership of one instance; implements the directory.

    :param on_change: called after the members have changed.
    """

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        instance: InstanceId,
        agreement: Agreement,
        bus: Bus,
        now_s: Callable[[], float],
        random: Random,
        on_change: Callable[[], None],
    ) -> None:
        self._instance = instance
        self._agreement = agreement
        self._bus = bus
        self._now_s = now_s
        self._on_change = on_change
        self._listed: Mapping[str, ListedInstance] = {}
        self._heard_at_s: dict[str, tuple[Member, float]] = {}
        self._seen_version = 0
        self._seen_duty_version = 0
        self._next_heard_s = 0.0
        self._membership = Membership(
            Member(
                name=instance.name,
                incarnation=instance.incarnation,
                caller_address=settings.caller_address,
                bus_address=settings.bus_address,
                region=settings.region,
                failure_domain=settings.failure_domain,
            ),
            (),
            now_s(),
            random,
        )
        for message_type in (Join, MemberList, Ping, PingVia, Ack):
            bus.subscribe(message_type, self._on_message)

    def start(self, timers: Timers) -> None:
        """Start probing."""
        timers.every(TICK_S, self.tick)

    def tick(self) -> None:
        """Do what is due; called every ``TICK_S`` seconds."""
        self._carry_out(self._membership.tick(self._now_s()))
        self._take_changes()

    def report(
        self, *, config_revision: int, fresh: bool, load: float
    ) -> None:
        """Set what this instance reports about itself."""
        self._membership.report(
            config_revision=config_revision, fresh=fresh, load=load
        )

    def leave(self) -> None:
        """Tell the others that this instance is shutting down."""
        self._membership.leave()
        self.tick()

    def stop(self) -> None:
        """Tell some peers that this instance has ended."""
        self._carry_out(self._membership.stop())

    def set_listed(self, entries: Mapping[str, ListedInstance]) -> None:
        """Apply the platform's list of instances."""
        self._listed = {
            name: entry
            for name, entry in entries.items()
            if entry.kind == "entry"
        }
        self._membership.set_seeds(
            entry.bus_address for entry in self._listed.values()
        )

    def owner(self, shard: int) -> OwnerView | None:
        """Return the owner of a shard, None if it cannot be reached."""
        state = self._agreement.state
        owner = state.control.shards[shard] if state else None
        if owner is None:
            return None
        address = self.address_of(owner.instance.name)
        if address is None:
            return None
        return OwnerView(
            bus_address=address,
            epoch=owner.epoch,
            is_self=owner.instance == self._instance,
        )

    def peers(self) -> list[str]:
        """Return the bus addresses of all other live instances."""
        return [
            member.bus_address
            for member in self._membership.members()
            if member.is_running and member.name != self._instance.name
        ]

    def address_of(self, name: str) -> str | None:
        """Return the bus address of an instance."""
        member = self._membership.member(name)
        if member is not None and member.bus_address:
            return member.bus_address
        listed = self._listed.get(name)
        return listed.bus_address if listed else None

    def is_usable(self, name: str) -> bool:
        """Return whether callers may be sent to an instance."""
        member = self._membership.member(name)
        if member is None or not member.fresh:
            return False
        listed = self._listed.get(name)
        if listed is not None and listed.state == "leaving":
            return False
        return member.state is MemberState.ALIVE

    def regions(self) -> dict[str, str]:
        """Return the region of each running instance by name."""
        return {
            member.name: member.region
            for member in self._membership.members()
            if member.is_running
        }

    def entry_instances(self) -> list[EntryInstance]:
        """Return all known instances as callers see them."""
        return [
            EntryInstance(
                name=member.name,
                caller_address=member.caller_address,
                region=member.region,
                failure_domain=member.failure_domain,
            )
            for member in self._membership.members()
            if member.is_running
        ]

    def members(self) -> tuple[Member, ...]:
        """Return all known records."""
        return self._membership.members()

    def status(self) -> list[InstanceStatus]:
        """Return all known instances as operators see them."""
        now_s = self._now_s()
        state = self._agreement.state
        writers = {
            writer.instance.name
            for writer in (state.control.writers if state else ())
        }
        return [
            InstanceStatus(
                name=member.name,
                state=member.state.name.lower(),
                region=member.region,
                failure_domain=member.failure_domain,
                config_revision=member.config_revision,
                fresh=member.fresh,
                age_s=self._age_s(member, now_s),
                load=member.load,
                address=member.caller_address,
                writer=member.name in writers,
            )
            for member in sorted(self.members(), key=lambda m: m.name)
        ]

    def _age_s(self, member: Member, now_s: float) -> float:
        if member.name == self._instance.name:
            return 0.0
        known = self._heard_at_s.get(member.name)
        return now_s - known[1] if known else 0.0

    def _on_message(self, _sender: Sender, message: Any) -> None:
        self._carry_out(self._membership.on_message(self._now_s(), message))
        self._take_changes()

    def _carry_out(self, messages: list[SendMembershipMessage]) -> None:
        for item in messages:
            self._bus.send(item.address, item.message)

    def _take_changes(self) -> None:
        self._record_report_times()
        if self._membership.topology_version == self._seen_duty_version:
            return
        self._seen_duty_version = self._membership.topology_version
        self._agreement.set_members(
            member
            for member in self._membership.members()
            if member.name != self._instance.name
        )
        self._on_change()

    def _record_report_times(self) -> None:
        """Record when each member's record last changed."""
        now_s = self._now_s()
        if (
            self._membership.version == self._seen_version
            or now_s < self._next_heard_s
        ):
            return
        self._seen_version = self._membership.version
        self._next_heard_s = now_s + HEARD_PERIOD_S
        for member in self._membership.members():
            known = self._heard_at_s.get(member.name)
            if known is None or known[0] != member:
                self._heard_at_s[member.name] = (member, now_s)
