"""Decides which changes of the control record an instance should write."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from verbenaworks.agreed_state import AgreedState, ConfigBytes
from verbenaworks.control_record import (
    SHARD_COUNT,
    ControlRecord,
    InstanceId,
    Writer,
)
from verbenaworks.freshness import FENCING_WAIT_S, MAX_CLOCK_DRIFT
from verbenaworks.member import Member, MemberState
from verbenaworks.shard_assignment import (
    assign_shards,
    is_lost,
    replace_writers,
)
from verbenaworks.state_edit import AlreadyApplied
from verbenaworks.state_writes import BuildResult, WriteBasis

MAX_ATTESTATION_AGE_S = 4_500.0
_CHECK_INTERVAL_S = 0.5
_BOOTSTRAP_WAIT_S = 1.0
# A new assigner waits until it has learned which members are alive.
_STARTUP_WAIT_S = 3.0
# An instance that reaches no other one is more often partitioned than the only
# one alive, so it waits before it reassigns the duties of the others.
_ISOLATION_WAIT_S = 30.0
# Time in which a leaving instance should have released its shards.
_RELEASE_TIMEOUT_S = 2.0
_TAKEOVER_DELAY_S = 10.0
_NO_CHANGE = AlreadyApplied(config_revision=0)

Build = Callable[[WriteBasis], BuildResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlWrite:
    """A change of the control record.

    :param build: returns the new state for the newest known one.
    """

    job_id: str
    build: Build


@dataclass(frozen=True, kw_only=True, slots=True)
class MaintenanceView:
    """The knowledge of the instance on which the decision is based.

    :param absent_since_s: when a read first found that the key does not
        exist; None if it exists or has not been read.
    """

    state: AgreedState | None
    is_store_up: bool
    absent_since_s: float | None


class ControlMaintenance:
    """Bootstrap, shard assignment, and replacement of writers.

    :param own_writer: this instance as a writer of its region.
    :param initial_config: document of the first state.
    """

    def __init__(
        self,
        own_writer: Writer,
        failure_domain: str,
        initial_config: ConfigBytes,
        now_s: float,
    ) -> None:
        self._own_writer = own_writer
        self._instance = own_writer.instance
        self._failure_domain = failure_domain
        self._initial_config = initial_config
        self._started_s = now_s
        self._next_check_s = now_s
        self._members: dict[str, Member] = {}
        self._isolated_since_s: float | None = None
        self._leaving_since_s: dict[InstanceId, float] = {}
        self._handed_over: set[tuple[int, int, InstanceId]] = set()
        self._writers_lost_since_s: float | None = None
        self._takeover_announced_s: float | None = None
        self.is_leaving = False

    def set_members(self, members: dict[str, Member]) -> None:
        """Replace the known other members."""
        self._members = members

    def own_member(self) -> Member:
        """Return this instance as a member."""
        state = MemberState.LEAVING if self.is_leaving else MemberState.ALIVE
        return Member(
            name=self._instance.name,
            incarnation=self._instance.incarnation,
            state=state,
            region=self._own_writer.region,
            failure_domain=self._failure_domain,
            fresh=True,
        )

    def update_control(self, now_s: float, control: ControlRecord) -> None:
        """Record the control record of a newly applied state."""
        if control.takeover != self._instance:
            self._takeover_announced_s = None
        elif self._takeover_announced_s is None:
            self._takeover_announced_s = now_s

    def record_release(
        self,
        control: ControlRecord,
        instance: InstanceId,
        shards: tuple[tuple[int, int], ...],
    ) -> None:
        """Record that an owner has stopped acting on shards.

        :param shards: pairs of a shard and the epoch of its release.
        """
        for shard, epoch in shards:
            if not 0 <= shard < SHARD_COUNT:
                continue
            owner = control.shards[shard]
            if owner is not None and (owner.instance, owner.epoch) == (
                instance,
                epoch,
            ):
                self._handed_over.add((shard, epoch, instance))

    def next_write(
        self, now_s: float, view: MaintenanceView
    ) -> ControlWrite | None:
        """Return the change that is due now, or None."""
        self._track_leaving_members(now_s)
        self._track_isolation(now_s)
        if now_s < self._next_check_s:
            return None
        self._next_check_s = now_s + _CHECK_INTERVAL_S
        if view.state is None:
            return self._bootstrap(now_s, view.absent_since_s)
        control = view.state.control
        if control.is_writer(self._instance):
            return self._maintain(now_s, view, control)
        return self._take_over(now_s, view, control)

    def build_writer_replacement(self, basis: WriteBasis) -> BuildResult:
        """Return the state with this instance as the only writer.

        Used when an operator orders it, and at the end of a takeover.
        """
        state = basis.state
        if state is None or state.control.is_writer(self._instance):
            return _NO_CHANGE
        control = state.control
        return replace(
            state,
            control=replace(
                control,
                writers=(self._own_writer,),
                writers_version=control.writers_version + 1,
                takeover=None,
            ),
        )

    def _bootstrap(
        self, now_s: float, absent_since_s: float | None
    ) -> ControlWrite | None:
        if absent_since_s is None or (
            now_s < absent_since_s + _BOOTSTRAP_WAIT_S
        ):
            return None
        return ControlWrite(job_id="bootstrap", build=self._build_bootstrap)

    def _build_bootstrap(self, basis: WriteBasis) -> BuildResult:
        if basis.state is not None:
            return _NO_CHANGE
        return AgreedState(
            sequence=1,
            config=self._initial_config.document,
            config_revision=self._initial_config.config_revision,
            control=ControlRecord(
                writers=(self._own_writer,), writers_version=1
            ),
        )

    def _maintain(
        self, now_s: float, view: MaintenanceView, control: ControlRecord
    ) -> ControlWrite | None:
        if (
            now_s < self._started_s + _STARTUP_WAIT_S
            or not view.is_store_up
            or not self._is_assigner(control)
            or self._is_isolated(now_s)
            or self._updated_control(control) == control
        ):
            return None
        return ControlWrite(job_id="maintain", build=self._build_maintenance)

    def _updated_control(self, control: ControlRecord) -> ControlRecord:
        members = {**self._members, self._instance.name: self.own_member()}
        released = {
            (shard, epoch)
            for shard, epoch, instance in self._handed_over
            if (owner := control.shards[shard]) is not None
            and owner.instance == instance
        }
        overdue = {
            instance
            for instance, since_s in self._leaving_since_s.items()
            if since_s == float("-inf")
        }
        return replace_writers(
            assign_shards(control, members, released, overdue),
            members,
            self._own_writer,
        )

    def _build_maintenance(self, basis: WriteBasis) -> BuildResult:
        state = basis.state
        if state is None or not state.control.is_writer(self._instance):
            return _NO_CHANGE
        control = self._updated_control(state.control)
        if control == state.control:
            return _NO_CHANGE
        return replace(state, control=control)

    def _is_assigner(self, control: ControlRecord) -> bool:
        live = [
            writer.instance.name
            for writer in control.writers
            if writer.instance == self._instance
            or (
                not is_lost(writer.instance, self._members)
                and self._members[writer.instance.name].is_available
            )
        ]
        return min(live, default="") == self._instance.name

    def _take_over(
        self, now_s: float, view: MaintenanceView, control: ControlRecord
    ) -> ControlWrite | None:
        """Replace the list of writers when all of them are lost.

        The first write only announces the takeover. A writer that sees the
        announcement stops attesting and removes it; one that does not see it
        stops attesting ``MAX_ATTESTATION_AGE_S`` after its last confirmation
        by the store, which was before the announcement.
        """
        lost = all(is_lost(w.instance, self._members) for w in control.writers)
        if not lost or not view.is_store_up:
            self._writers_lost_since_s = None
            return None
        if self._writers_lost_since_s is None:
            self._writers_lost_since_s = now_s
        if now_s < self._writers_lost_since_s + _TAKEOVER_DELAY_S:
            return None
        if control.takeover == self._instance:
            wait_s = (
                MAX_ATTESTATION_AGE_S * (1 + 2 * MAX_CLOCK_DRIFT)
                + FENCING_WAIT_S
            )
            announced_s = self._takeover_announced_s
            if announced_s is None or now_s < announced_s + wait_s:
                return None
            return ControlWrite(
                job_id="replace-writers", build=self._build_takeover
            )
        names = [n for n, m in self._members.items() if m.is_available]
        if min([*names, self._instance.name]) != self._instance.name:
            return None
        if control.takeover is None or is_lost(
            control.takeover, self._members
        ):
            return ControlWrite(
                job_id="announce", build=self._build_announcement
            )
        return None

    def _build_announcement(self, basis: WriteBasis) -> BuildResult:
        state = basis.state
        if state is None or state.sequence != basis.sequence:
            return _NO_CHANGE
        return replace(
            state, control=replace(state.control, takeover=self._instance)
        )

    def _build_takeover(self, basis: WriteBasis) -> BuildResult:
        state = basis.state
        if (
            state is None
            or state.sequence != basis.sequence
            or state.control.takeover != self._instance
        ):
            return _NO_CHANGE
        return self.build_writer_replacement(basis)

    def _track_isolation(self, now_s: float) -> None:
        others = self._members.values()
        if not others or any(member.is_running for member in others):
            self._isolated_since_s = None
        elif self._isolated_since_s is None:
            self._isolated_since_s = now_s

    def _is_isolated(self, now_s: float) -> bool:
        since_s = self._isolated_since_s
        return since_s is not None and now_s < since_s + _ISOLATION_WAIT_S

    def _track_leaving_members(self, now_s: float) -> None:
        leaving: dict[InstanceId, float] = {}
        for member in self._members.values():
            if member.state is not MemberState.LEAVING:
                continue
            instance = InstanceId(
                name=member.name, incarnation=member.incarnation
            )
            since_s = self._leaving_since_s.get(instance, now_s)
            if now_s >= since_s + _RELEASE_TIMEOUT_S:
                since_s = float("-inf")
            leaving[instance] = since_s
        self._leaving_since_s = leaving
