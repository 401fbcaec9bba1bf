"""State machine that keeps one instance's agreed state current.

It also writes changes of that state. The class receives the time, messages
and store results, and returns actions that the daemon carries out. See
docs/agreement.md for the protocol.
"""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from verbenaworks.agreed_state import (
    AGREED_KEY,
    AgreedState,
    AgreedStateError,
    ConfigBytes,
)
from verbenaworks.agreement_actions import (
    AgreementAction,
    CallStore,
    ReportEdit,
    SendMessage,
    StateApplied,
)
from verbenaworks.agreement_messages import (
    AgreementMessage,
    Resignation,
    ShardsReleased,
    StateAnswer,
    StatePoll,
    WriterResigned,
)
from verbenaworks.applied_state import AppliedState, Comparison
from verbenaworks.attestations import Attestations
from verbenaworks.control_maintenance import (
    MAX_ATTESTATION_AGE_S,
    ControlMaintenance,
    MaintenanceView,
)
from verbenaworks.control_record import (
    InstanceId,
    Writer,
)
from verbenaworks.freshness import (
    POLL_PERIOD_S,
    Freshness,
)
from verbenaworks.member import Member
from verbenaworks.owner_lease import OwnerLease
from verbenaworks.poll_plan import PollPlan, plan_polls
from verbenaworks.shard_assignment import (
    is_lost,
    merge_control,
)
from verbenaworks.shard_ownership import ShardOwnership
from verbenaworks.state_delta import (
    DeltaMismatchError,
    StateDelta,
    apply_delta,
)
from verbenaworks.state_edit import (
    AlreadyApplied,
    EditAccepted,
    EditUnknown,
    NotWriterError,
    StateEdit,
)
from verbenaworks.state_writes import (
    STORE_TIMEOUT_S,
    BuildResult,
    SettledWrite,
    StateWrites,
    WriteBasis,
)
from verbenaworks.store_requests import (
    StoreAbsent,
    StoreGet,
    StoreGetVersion,
    StorePut,
    StoreRequest,
    StoreResult,
    StoreUnavailable,
    StoreValue,
    StoreVersionFound,
    StoreWatch,
)

# Interval at which the daemon calls tick().
TICK_S = 0.1
WATCH_WAIT_S = 20.0
# Polls the writers when the store has not confirmed the state for this time.
# With a poll every 0.4 s and a round trip of 40 ms, the time reaches 0.55 s
# without any loss. With a longer time, the last of three relays would stop
# being fresh at the start of an outage.
_POLL_WRITERS_AFTER_S = 0.75
# Polls further instances and the store when the newest confirmation is older
# than this. Behind two relays the age reaches 1.3 s without any loss.
_FALLBACK_AFTER_S = 1.5
# 1,300 instances that fall back to the store send it 650 reads/s.
_FALLBACK_PERIOD_S = 2.0
# An instance that was not fresh accepts confirmations by the store only after
# this time. A writer uses it to detect and repair a store that was restored
# to an older state.
_RESUME_DELAY_S = 1.0
# A version number identifies the stored state only if the instance has seen
# that version in the store within this time.
_VERSION_TRUST_S = 1.0
# After a restore, the state is written repeatedly until the key's version is
# above all known ones. If this many versions or more are missing, writes of
# other keys are expected to use them up.
_MAX_VERSION_GAP = 64
# While a peer reports a newer state, the store does not confirm the local one.
# The timeout is needed because the peer may fail before it sends that state.
_AHEAD_TIMEOUT_S = 3.0
_RECENT_EDIT_MAX_AGE_S = 60.0
_RESUBMIT_INTERVAL_S = 1.0
_POLL_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AgreementSettings:
    """Process settings of the instance.

    :param initial_config: document that the first instance of a new
        deployment writes.
    """

    instance: InstanceId
    region: str
    failure_domain: str
    initial_config: ConfigBytes


@dataclass(frozen=True, kw_only=True, slots=True)
class _PendingRequest:
    request: StoreRequest
    sent_at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _StoredState:
    version: int
    sequence: int
    tag: int


class Agreement:
    """The agreed state at one instance.

    :param rng: seeded generator for the phases of polls and the choice of
        peers.
    """

    def __init__(
        self, settings: AgreementSettings, now_s: float, rng: Random
    ) -> None:
        self._settings = settings
        self._instance = settings.instance
        self._rng = rng
        self._ids = itertools.count(1)
        self._applied = AppliedState()
        self._applied_at_s = now_s
        self._freshness = Freshness()
        self._attestations = Attestations()
        self._ownership = ShardOwnership(self._instance, self._freshness)
        self._maintenance = ControlMaintenance(
            Writer(instance=self._instance, region=settings.region),
            settings.failure_domain,
            settings.initial_config,
            now_s,
        )
        self._writes = StateWrites(self._instance, lambda: next(self._ids))
        self._members: dict[str, Member] = {}
        self._plan = PollPlan(uses_store=True, watches=True)
        self._actions: list[AgreementAction] = []
        self._stored: _StoredState | None = None
        self._stored_seen_s = now_s
        self._highest_version = 0
        self._diverged: AgreedState | None = None
        self._store_requests: dict[int, _PendingRequest] = {}
        self._store_confirmed_at_s: float | None = None
        self._absent_since_s: float | None = None
        self._resume_from_s: float | None = None
        self._polls: dict[int, tuple[str, float]] = {}
        self._ahead_peer: tuple[str, float] | None = None
        self._next_store_poll_s = now_s
        self._next_peer_poll_s = now_s + rng.random() * POLL_PERIOD_S
        self._next_writer_poll_s = now_s
        self._next_release_s = now_s
        self._next_resubmit_s = now_s
        self._next_parent = rng.randrange(2)
        self._is_resigning = False
        self._is_resigned = False
        self._is_releasing = False
        self._recent_edits: dict[str, tuple[StateEdit, float]] = {}
        self._submitted: dict[str, StateEdit] = {}

    @property
    def state(self) -> AgreedState | None:
        """Return the applied state."""
        return self._applied.state

    @property
    def freshness(self) -> Freshness:
        """Return the freshness of the applied state."""
        return self._freshness

    @property
    def is_writer(self) -> bool:
        """Return whether the applied record lists this instance."""
        state = self._applied.state
        return (
            state is not None
            and not self._is_resigned
            and state.control.is_writer(self._instance)
        )

    @property
    def has_resigned(self) -> bool:
        """Return whether this instance will never write again."""
        return self._is_resigned

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the instance may act on the applied state."""
        return self._freshness.is_fresh(now_s)

    def lease(self, shard: int) -> OwnerLease | None:
        """Return the lease on a shard, or None if another owns it."""
        return self._ownership.lease(shard)

    def leases(self) -> tuple[OwnerLease, ...]:
        """Return the leases on all shards that this instance owns."""
        return self._ownership.leases()

    def writers_for_edit(self) -> tuple[str, ...]:
        """Return the live writers that accept edits, preferred first."""
        state = self._applied.state
        if state is None:
            return ()
        own = self.is_writer and not self._is_resigning
        return ((self._instance.name,) if own else ()) + tuple(
            writer.instance.name
            for writer in state.control.writers
            if not is_lost(writer.instance, self._members)
        )

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the known members; this instance is ignored."""
        self._members = {
            member.name: member
            for member in members
            if member.name != self._instance.name
        }
        self._maintenance.set_members(self._members)
        self._plan = plan_polls(
            self._instance.name,
            self._settings.failure_domain,
            [*self._members.values(), self._maintenance.own_member()],
        )

    def tick(self, now_s: float) -> list[AgreementAction]:
        """Run everything that is due; called every ``TICK_S``."""
        self._expire(now_s)
        self._poll_store(now_s)
        self._poll_peers(now_s)
        self._poll_writers(now_s)
        self._maintain_control_record(now_s)
        self._step_writes(now_s)
        return self._drain_actions()

    def submit(self, edit: StateEdit, now_s: float) -> list[AgreementAction]:
        """Apply an edit as a writer; the outcome is reported later."""
        self._submitted[edit.edit_id] = edit
        self._writes.submit(edit, now_s)
        self._step_writes(now_s)
        return self._drain_actions()

    def resign(self, now_s: float) -> list[AgreementAction]:
        """Stop writing permanently, once the last write is settled."""
        self._is_resigning = self._maintenance.is_leaving = True
        self._step_writes(now_s)
        return self._drain_actions()

    def release_shards(self, now_s: float) -> list[AgreementAction]:
        """Stop acting as an owner permanently, and notify the writers."""
        self._is_releasing = self._maintenance.is_leaving = True
        self._send_release(now_s)
        return self._drain_actions()

    def replace_lost_writers(self, now_s: float) -> list[AgreementAction]:
        """Replace the list of writers without waiting.

        Called when an operator has confirmed that all writers have stopped.
        """
        self._writes.submit_control(
            "order-writers", self._maintenance.build_writer_replacement
        )
        self._step_writes(now_s)
        return self._drain_actions()

    def on_message(
        self, now_s: float, sender: str, message: AgreementMessage
    ) -> list[AgreementAction]:
        """Handle a message from another instance."""
        match message:
            case StatePoll():
                self._reply_to_poll(now_s, sender, message)
            case StateAnswer():
                self._on_state_answer(now_s, sender, message)
            case WriterResigned(resignation=resignation):
                self._attestations.resign(resignation)
            case ShardsReleased():
                self._on_shards_released(message)
        self._step_writes(now_s)
        return self._drain_actions()

    def on_store_result(
        self, now_s: float, request_id: int, result: StoreResult
    ) -> list[AgreementAction]:
        """Handle the result of a store request."""
        pending = self._store_requests.pop(request_id, None)
        if pending is None:
            # The request has timed out; only a write can still use it.
            self._on_write_result(now_s, request_id, result)
        else:
            match pending.request:
                case StoreGet():
                    self._on_read(now_s, pending.sent_at_s, result)
                case StoreGetVersion() | StoreWatch():
                    self._on_version(now_s, pending, result)
                case StorePut():
                    self._on_write_result(now_s, request_id, result)
        self._step_writes(now_s)
        return self._drain_actions()

    # Polls.

    def _poll_store(self, now_s: float) -> None:
        if now_s < self._next_store_poll_s:
            return
        age_s = self._freshness.age_s(now_s)
        if self._plan.uses_store:
            self._next_store_poll_s = now_s + POLL_PERIOD_S * 0.95
        elif age_s is None or age_s > _FALLBACK_AFTER_S:
            self._next_store_poll_s = now_s + _FALLBACK_PERIOD_S * (
                0.5 + self._rng.random()
            )
        else:
            return
        if self._stored is None or self._writes.needs_read():
            self._read_store(now_s)
        else:
            self._send_store_request(
                now_s,
                StoreGetVersion(request_id=next(self._ids), key=AGREED_KEY),
            )
        if self._plan.watches:
            self._watch_store(now_s)

    def _watch_store(self, now_s: float) -> None:
        if self._stored is None or self._is_pending(StoreWatch):
            return
        self._send_store_request(
            now_s,
            StoreWatch(
                request_id=next(self._ids),
                key=AGREED_KEY,
                after_version=self._stored.version,
                wait_s=WATCH_WAIT_S,
            ),
        )

    def _read_store(self, now_s: float) -> None:
        if not self._is_pending(StoreGet):
            self._send_store_request(
                now_s, StoreGet(request_id=next(self._ids), key=AGREED_KEY)
            )

    def _poll_peers(self, now_s: float) -> None:
        if now_s < self._next_peer_poll_s:
            return
        self._next_peer_poll_s = now_s + POLL_PERIOD_S * 0.95
        age_s = self._freshness.age_s(now_s)
        names: set[str] = set()
        if self._plan.parents:
            self._next_parent += 1
            parents = self._plan.parents
            names.add(parents[self._next_parent % len(parents)])
        if self._ahead_peer is not None:
            names.add(self._ahead_peer[0])
        if age_s is None or age_s > _FALLBACK_AFTER_S:
            running = [n for n, m in self._members.items() if m.is_running]
            names.update(self._rng.sample(running, min(2, len(running))))
        for name in sorted(names):
            self._poll_peer(now_s, name)

    def _poll_writers(self, now_s: float) -> None:
        state = self._applied.state
        store_s = self._store_confirmed_at_s
        if (
            now_s < self._next_writer_poll_s
            or state is None
            or not self._plan.uses_store
            or (
                store_s is not None and now_s < store_s + _POLL_WRITERS_AFTER_S
            )
        ):
            return
        self._next_writer_poll_s = now_s + POLL_PERIOD_S * 0.95
        for writer in state.control.writers:
            if writer.instance != self._instance:
                self._poll_peer(now_s, writer.instance.name)
        self._confirm_by_writers(now_s)

    def _poll_peer(self, now_s: float, name: str, whole: bool = False) -> None:
        poll_id = next(self._ids)
        self._polls[poll_id] = (name, now_s)
        self._send(
            name,
            StatePoll(
                poll_id=poll_id,
                sequence=self._applied.sequence,
                tag=self._applied.tag,
                config_revision=self._applied.config_revision,
                whole=whole,
            ),
        )

    def _reply_to_poll(
        self, now_s: float, sender: str, poll: StatePoll
    ) -> None:
        applied = self._applied
        is_peer_behind = applied.state is not None and (
            poll.sequence < applied.sequence
            or poll.config_revision < applied.config_revision
        )
        update = (
            applied.make_update((poll.sequence, poll.tag), poll.whole)
            if is_peer_behind
            else None
        )
        self._send(
            sender,
            StateAnswer(
                poll_id=poll.poll_id,
                incarnation=self._instance.incarnation,
                sequence=applied.sequence,
                tag=applied.tag,
                config_revision=applied.config_revision,
                age_s=(
                    self._freshness.age_s(now_s)
                    if self.is_fresh(now_s)
                    else None
                ),
                attests=self._can_attest(now_s),
                update=update,
                store_version=self._known_version() if is_peer_behind else 0,
                resignations=(
                    ()
                    if applied.state is None
                    else self._attestations.resignations(applied.state.control)
                ),
            ),
        )
        self._compare_with_peer(
            now_s, sender, poll.sequence, poll.config_revision, poll.tag
        )

    def _on_state_answer(
        self, now_s: float, sender: str, answer: StateAnswer
    ) -> None:
        poll = self._polls.pop(answer.poll_id, None)
        if poll is None or poll[0] != sender:
            return
        for resignation in answer.resignations:
            self._attestations.resign(resignation)
        if answer.update is not None:
            self._on_delta(now_s, sender, answer, answer.update)
        state_id = (answer.sequence, answer.tag)
        if state_id != self._applied.state_id or self._applied.state is None:
            if answer.update is None:
                self._compare_with_peer(
                    now_s,
                    sender,
                    answer.sequence,
                    answer.config_revision,
                    answer.tag,
                )
            return
        if answer.age_s is not None:
            self._freshness.confirm_by_relay(poll[1], answer.age_s)
            self._resume_from_s = None
        if answer.attests:
            self._attestations.attest(
                InstanceId(name=sender, incarnation=answer.incarnation),
                state_id,
                poll[1],
            )
            self._confirm_by_writers(now_s)

    def _on_delta(
        self, now_s: float, sender: str, answer: StateAnswer, delta: StateDelta
    ) -> None:
        try:
            data = apply_delta(
                self._applied.delta_base(delta.base_sequence), delta
            )
            state = AgreedState.from_bytes(data)
        except DeltaMismatchError:
            self._poll_peer(now_s, sender, whole=True)
            return
        except AgreedStateError:
            return
        self._apply_state(now_s, state, data, answer.store_version)

    def _compare_with_peer(
        self,
        now_s: float,
        sender: str,
        sequence: int,
        config_revision: int,
        tag: int,
    ) -> None:
        applied = self._applied
        if (
            sequence > applied.sequence
            or config_revision > applied.config_revision
        ):
            if self._ahead_peer is None:
                self._ahead_peer = (sender, now_s)
                self._poll_peer(now_s, sender)
        elif sequence == applied.sequence and tag != applied.tag:
            self._submit_repair()

    def _can_attest(self, now_s: float) -> bool:
        state = self._applied.state
        return (
            state is not None
            and self.is_writer
            and state.control.takeover is None
            and self._writes.is_settled
            and self._diverged is None
            and self._store_confirmed_at_s is not None
            and now_s < self._store_confirmed_at_s + MAX_ATTESTATION_AGE_S
        )

    def _confirm_by_writers(self, now_s: float) -> None:
        state = self._applied.state
        if state is None:
            return
        if self._can_attest(now_s):
            self._attestations.attest(
                self._instance, self._applied.state_id, now_s
            )
        times_s = self._attestations.confirming_times_s(
            state.control, self._applied.state_id
        )
        if times_s is not None:
            self._freshness.confirm_by_writers(times_s)
            self._resume_from_s = None

    # Results of store requests.

    def _on_version(
        self, now_s: float, pending: _PendingRequest, result: StoreResult
    ) -> None:
        request = pending.request
        if isinstance(result, StoreAbsent):
            self._on_read(now_s, pending.sent_at_s, result)
        elif isinstance(result, StoreVersionFound):
            self._absent_since_s = None
            if not self._is_version_trusted(result.version, pending.sent_at_s):
                self._read_store(now_s)
                result = StoreUnavailable()
            elif isinstance(request, StoreGetVersion):
                self._stored_seen_s = max(
                    self._stored_seen_s, pending.sent_at_s
                )
                self._confirm_by_store(now_s, pending.sent_at_s)
        for follow_up in self._writes.on_probe(
            now_s, request.request_id, result
        ):
            self._send_store_request(now_s, follow_up)

    def _is_version_trusted(self, version: int, sent_at_s: float) -> bool:
        """Return whether a version identifies the state last read.

        A store that was restored reuses versions. An instance that has not
        polled for ``_VERSION_TRUST_S`` may have missed a restore, so it reads
        the value.
        """
        stored = self._stored
        return (
            stored is not None
            and stored.version == version
            and sent_at_s < self._stored_seen_s + _VERSION_TRUST_S
        )

    def _on_read(
        self, now_s: float, sent_at_s: float, result: StoreResult
    ) -> None:
        match result:
            case StoreAbsent():
                if self._absent_since_s is None:
                    self._absent_since_s = sent_at_s
                if sent_at_s >= self._applied_at_s:
                    self._stored = _StoredState(version=0, sequence=0, tag=0)
                    self._stored_seen_s = sent_at_s
                    self._submit_repair()
                self._settle_by_read(now_s, sent_at_s, 0, b"")
            case StoreValue(value=value, version=version):
                self._absent_since_s = None
                self._settle_by_read(now_s, sent_at_s, version, value)
                self._on_stored_state(now_s, sent_at_s, value, version)

    def _settle_by_read(
        self, now_s: float, sent_at_s: float, version: int, value: bytes
    ) -> None:
        settled, requests = self._writes.on_read(
            now_s, sent_at_s, version, value
        )
        if settled is not None:
            self._on_write_settled(now_s, settled)
        for request in requests:
            self._send_store_request(now_s, request)

    def _on_stored_state(
        self, now_s: float, sent_at_s: float, value: bytes, version: int
    ) -> None:
        try:
            state = AgreedState.from_bytes(value)
        except AgreedStateError:
            if sent_at_s >= self._applied_at_s:
                self._stored = _StoredState(version=version, sequence=0, tag=0)
                self._stored_seen_s = sent_at_s
                self._submit_repair()
            return
        comparison = self._applied.compare(state, value)
        if comparison is Comparison.NEWER:
            self._apply_state(now_s, state, value, version)
            self._confirm_by_store(now_s, sent_at_s)
            return
        if sent_at_s < self._applied_at_s:
            return
        self._stored = _StoredState(
            version=version, sequence=state.sequence, tag=0
        )
        self._stored_seen_s = sent_at_s
        if comparison is Comparison.SAME:
            self._stored = replace(self._stored, tag=self._applied.tag)
            self._confirm_by_store(now_s, sent_at_s)
            return
        if comparison is Comparison.DIVERGED:
            self._diverged = state
        self._submit_repair()

    def _confirm_by_store(self, now_s: float, sent_at_s: float) -> None:
        stored = self._stored
        if (
            stored is None
            or (stored.sequence, stored.tag) != self._applied.state_id
            or self._ahead_peer is not None
        ):
            return
        self._store_confirmed_at_s = max(
            sent_at_s, self._store_confirmed_at_s or sent_at_s
        )
        if not self._freshness.is_fresh(now_s):
            if self._resume_from_s is None:
                self._resume_from_s = sent_at_s
            if sent_at_s < self._resume_from_s + _RESUME_DELAY_S:
                return
        self._resume_from_s = None
        self._freshness.confirm_by_store(sent_at_s)

    def _apply_state(
        self, now_s: float, state: AgreedState, data: bytes, version: int
    ) -> None:
        comparison = self._applied.compare(state, data)
        if comparison is Comparison.DIVERGED:
            self._diverged = state
            self._ahead_peer = None
            self._submit_repair()
        if not self._applied.apply(state, data):
            return
        self._applied_at_s = now_s
        self._ahead_peer = None
        self._diverged = None
        if version:
            self._stored = _StoredState(
                version=version,
                sequence=state.sequence,
                tag=self._applied.tag,
            )
            self._stored_seen_s = now_s
            self._highest_version = max(self._highest_version, version)
        self._maintenance.update_control(now_s, state.control)
        self._ownership.update_control(now_s, state.control)
        self._resubmit_lost_edits(now_s, state)
        self._actions.append(StateApplied(state=state))

    # Writes.

    def _step_writes(self, now_s: float) -> None:
        if self._is_resigning:
            self._writes.refuse_queued(
                NotWriterError(
                    f"{self._instance.name} is shutting down",
                    "send the edit to another writer",
                )
            )
            if self._writes.is_settled and not self._is_resigned:
                self._announce_resignation()
        for request in self._writes.step(now_s, self._write_basis()):
            self._send_store_request(now_s, request)
        for outcome in self._writes.drain_outcomes():
            edit = self._submitted.get(outcome.edit_id)
            if not isinstance(outcome, EditUnknown):
                self._submitted.pop(outcome.edit_id, None)
            if edit is not None and isinstance(outcome, EditAccepted):
                self._recent_edits[edit.edit_id] = (edit, now_s)
                # The store may have been restored after it applied the write.
                self._resubmit_lost_edits(now_s, self._applied.state)
            if isinstance(outcome, EditAccepted) or (
                outcome.edit_id not in self._recent_edits
            ):
                self._actions.append(ReportEdit(outcome=outcome))

    def _write_basis(self) -> WriteBasis | None:
        stored = self._stored
        if stored is None or self._ahead_peer is not None:
            return None
        return WriteBasis(
            version=stored.version,
            sequence=stored.sequence,
            state=self._applied.state,
        )

    def _on_write_result(
        self, now_s: float, request_id: int, result: StoreResult
    ) -> None:
        settled = self._writes.on_put(now_s, request_id, result)
        if settled is not None:
            self._on_write_settled(now_s, settled)

    def _on_write_settled(self, now_s: float, settled: SettledWrite) -> None:
        self._absent_since_s = None
        self._apply_state(
            now_s, settled.state, settled.state.to_bytes(), settled.version
        )
        if 0 < self._highest_version - settled.version < _MAX_VERSION_GAP:
            self._submit_repair()

    def _resubmit_lost_edits(
        self, now_s: float, state: AgreedState | None
    ) -> None:
        """Submit accepted edits again that a restored store has lost.

        Another writer may have repaired the store from an older state that
        is_peer_behind them.
        """
        if state is None:
            return
        for edit_id, (edit, accepted_s) in list(self._recent_edits.items()):
            if now_s > accepted_s + _RECENT_EDIT_MAX_AGE_S:
                del self._recent_edits[edit_id]
            elif not isinstance(edit.change(state), AlreadyApplied):
                self._submitted[edit_id] = edit
                self._writes.submit(edit, now_s)

    def _announce_resignation(self) -> None:
        self._is_resigned = True
        self._writes.close()
        state = self._applied.state
        if state is None or not state.control.is_writer(self._instance):
            return
        resignation = Resignation(
            writer=self._instance,
            writers_version=state.control.writers_version,
            sequence=state.sequence,
        )
        self._attestations.resign(resignation)
        for name, member in self._members.items():
            if member.is_running:
                self._send(name, WriterResigned(resignation=resignation))

    def _submit_repair(self) -> None:
        if self._applied.state is not None and self.is_writer:
            self._writes.submit_control("repair", self._build_repair)

    def _build_repair(self, basis: WriteBasis) -> BuildResult:
        """Return the newest state that this instance knows.

        The write gets a sequence above the known and the stored one.
        """
        state = basis.state
        stored = self._stored
        if state is None or stored is None:
            return AlreadyApplied(config_revision=0)
        other = self._diverged
        if other is None:
            return state
        newest = max(state, other, key=lambda s: s.config_revision)
        return replace(
            newest, control=merge_control(state.control, other.control)
        )

    # Control record and ownership.

    def _maintain_control_record(self, now_s: float) -> None:
        if self._is_releasing:
            self._send_release(now_s)
        if self._is_resigning:
            return
        if self._recent_edits and now_s >= self._next_resubmit_s:
            self._next_resubmit_s = now_s + _RESUBMIT_INTERVAL_S
            self._resubmit_lost_edits(now_s, self._applied.state)
        write = self._maintenance.next_write(
            now_s,
            MaintenanceView(
                state=self._applied.state,
                is_store_up=self._is_store_up(now_s),
                absent_since_s=self._absent_since_s,
            ),
        )
        if write is not None:
            self._writes.submit_control(write.job_id, write.build)

    def _send_release(self, now_s: float) -> None:
        shards = self._ownership.release()
        state = self._applied.state
        if not shards or state is None or now_s < self._next_release_s:
            return
        self._next_release_s = now_s + POLL_PERIOD_S
        for writer in state.control.writers:
            if writer.instance != self._instance:
                self._send(
                    writer.instance.name,
                    ShardsReleased(owner=self._instance, shards=shards),
                )
        self._maintenance.record_release(state.control, self._instance, shards)

    def _on_shards_released(self, message: ShardsReleased) -> None:
        state = self._applied.state
        if state is not None:
            self._maintenance.record_release(
                state.control, message.owner, message.shards
            )

    # Helpers.

    def _is_store_up(self, now_s: float) -> bool:
        confirmed_s = self._store_confirmed_at_s
        return (
            confirmed_s is not None and now_s < confirmed_s + STORE_TIMEOUT_S
        )

    def _known_version(self) -> int:
        stored = self._stored
        if stored is None or stored.sequence != self._applied.sequence:
            return 0
        return stored.version if stored.tag == self._applied.tag else 0

    def _expire(self, now_s: float) -> None:
        self._polls = {
            poll_id: poll
            for poll_id, poll in self._polls.items()
            if now_s < poll[1] + _POLL_TIMEOUT_S
        }
        for request_id, pending in list(self._store_requests.items()):
            limit_s = STORE_TIMEOUT_S
            if isinstance(pending.request, StoreWatch):
                limit_s += WATCH_WAIT_S
            if now_s >= pending.sent_at_s + limit_s:
                del self._store_requests[request_id]
        if (
            self._ahead_peer
            and now_s >= self._ahead_peer[1] + _AHEAD_TIMEOUT_S
        ):
            self._ahead_peer = None

    def _is_pending(self, kind: type) -> bool:
        return any(
            isinstance(pending.request, kind)
            for pending in self._store_requests.values()
        )

    def _send_store_request(self, now_s: float, request: StoreRequest) -> None:
        self._store_requests[request.request_id] = _PendingRequest(
            request=request, sent_at_s=now_s
        )
        self._actions.append(CallStore(request=request))

    def _send(self, name: str, message: AgreementMessage) -> None:
        self._actions.append(SendMessage(to=name, message=message))

    def _drain_actions(self) -> list[AgreementAction]:
        actions, self._actions = self._actions, []
        return actions
