"""Probes the health and load of backend servers and shares the results.

``verbenaworks.shared_health`` decides which targets this instance probes and
what follows from a result.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from random import Random

import eventlet
from result import Err, Ok

from verbenad.bus import Bus, Sender
from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder
from verbenad.upstream_response import UpstreamResponse
from verbenaworks import encode
from verbenaworks.control_record import InstanceId
from verbenaworks.errors import VerbenaError
from verbenaworks.health_messages import (
    HealthMessage,
    HealthNews,
    HealthTaken,
    LoadBatch,
)
from verbenaworks.health_sender import SendHealthMessage
from verbenaworks.load_report import (
    MAX_ANSWER_BYTES,
    Health,
    parse_health,
    parse_load,
)
from verbenaworks.member import Member
from verbenaworks.shared_health import (
    EffectiveHealth,
    HealthAction,
    LoadReceived,
    ProbeTarget,
    SharedHealth,
)
from verbenaworks.target import TargetInfo
from verbenaworks.target_choice import TargetChoice
from verbenaworks.target_stats import REFUSAL_HOLD_S, LeavingSignal

TICK_S = 0.1
PROBE_TIMEOUT_S = 1.0
HEALTH_PATH = "/health"
LOAD_PATH = "/load"
# A refusal is observed by this instance only, so the probes of others do not
# show when it has ended. This is the interval at which it is checked here.
REFUSAL_CHECK_PERIOD_S = 1.5


class TargetProber:
    """Makes the probes of one instance and exchanges results with others.

    :param on_change: called when a service's targets may have changed state.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        bus: Bus,
        choice: TargetChoice,
        forwarder: Forwarder,
        connection_limit: Callable[[TargetInfo], int],
        now_s: Callable[[], float],
        random: Random,
        on_change: Callable[[str], None],
    ) -> None:
        self._bus = bus
        self._choice = choice
        self._now_s = now_s
        self._on_change = on_change
        self._targets: Mapping[str, TargetInfo] = {}
        self._forwarder = forwarder
        self._connection_limit = connection_limit
        self._health = SharedHealth(
            bus.address,
            instance.incarnation,
            bus.last_received_s,
            now_s(),
            random,
        )
        self._next_refusal_check_s = 0.0
        self._probes: Counter[str] = Counter()
        self._messages: Counter[str] = Counter()
        self.sent_bytes = 0
        for message_type in (HealthNews, HealthTaken, LoadBatch):
            bus.subscribe(message_type, self._on_message)

    @property
    def unacknowledged(self) -> int:
        """Return how many of this instance's changes lack acknowledgement."""
        return self._health.unacknowledged

    def probing_alone(self) -> int:
        """Return the number of targets none of whose probers is reachable."""
        return self._health.count_probed_targets("alone")

    def probes(self) -> Mapping[str, float]:
        """Return the number of probes by their reason."""
        return self._probes

    def messages(self) -> Mapping[str, float]:
        """Return the number of messages by direction and kind."""
        return self._messages

    def set_targets(
        self, targets: Sequence[TargetInfo], in_use: Collection[str]
    ) -> None:
        """Set all targets, and the names of those that are used here."""
        self._targets = {target.name: target for target in targets}
        self._health.set_targets(self._now_s(), targets, in_use)

    def set_members(self, members: Iterable[Member]) -> None:
        """Set all known members, including this instance."""
        self._health.set_members(self._now_s(), members)

    def tick(self) -> None:
        """Do what is due; called every ``TICK_S`` seconds."""
        now_s = self._now_s()
        if now_s >= self._next_refusal_check_s:
            self._next_refusal_check_s = now_s + REFUSAL_CHECK_PERIOD_S
            self._check_refusals(now_s)
        self._execute(self._health.tick(now_s))

    def _check_refusals(self, now_s: float) -> None:
        for target in self._targets.values():
            stats = self._choice.stats(target.service, target.name)
            if (
                stats.leaving_signals & LeavingSignal.REFUSAL
                and now_s >= stats.refused_at_s + REFUSAL_HOLD_S
            ):
                self._health.request_check(now_s, target.name)

    def _on_message(self, sender: Sender, message: HealthMessage) -> None:
        self._messages[f"received {type(message).__name__}"] += 1
        self._execute(
            self._health.on_message(self._now_s(), sender.address, message)
        )

    def _execute(self, actions: list[HealthAction]) -> None:
        for action in actions:
            match action:
                case ProbeTarget():
                    self._probes[action.reason] += 1
                    eventlet.spawn_n(self._probe, action)
                case SendHealthMessage():
                    self._send(action)
                case EffectiveHealth():
                    self._on_effective_health(action)
                case LoadReceived():
                    self._on_load_received(action)

    def _send(self, send: SendHealthMessage) -> None:
        kind = type(send.message)
        body = encode(send.message)
        self._messages[f"sent {kind.__name__}"] += 1
        self.sent_bytes += len(body)
        self._bus.send_encoded(send.address, body, kind)

    def _on_effective_health(self, event: EffectiveHealth) -> None:
        target = self._targets.get(event.target)
        if target is None:
            return
        self._choice.record_probe(
            self._now_s(),
            event.asked_s,
            target.service,
            target.name,
            event.health,
        )
        self._on_change(target.service)

    def _on_load_received(self, event: LoadReceived) -> None:
        target = self._targets.get(event.target)
        if target is not None:
            self._choice.record_load_report(
                event.measured_s, target.service, target.name, event.report
            )

    def _probe(self, probe: ProbeTarget) -> None:
        target = self._targets.get(probe.target)
        if target is None:
            return
        asked_s = self._now_s()
        health = Health.NO_ANSWER
        answer = self._get(target, HEALTH_PATH)
        if answer is not None:
            health = parse_health(*answer)
        self._execute(
            self._health.on_probe_result(
                self._now_s(), asked_s, target.name, health
            )
        )
        if answer is None or not probe.with_load:
            return
        asked_s = self._now_s()
        answer = self._get(target, LOAD_PATH)
        load = parse_load(*answer) if answer is not None else None
        # The target may have been removed during the probe.
        if load is None or target.name not in self._targets:
            return
        self._choice.record_load_report(
            asked_s, target.service, target.name, load
        )
        self._health.on_load_report(asked_s, target.name, load)

    def _get(self, target: TargetInfo, path: str) -> tuple[int, bytes] | None:
        host, _, port = target.address.rpartition(":")
        request = ForwardRequest(
            request_id="probe",
            method="GET",
            target=path,
            host=target.address,
            headers=[],
            idempotent=True,
        )
        deadline_s = self._now_s() + PROBE_TIMEOUT_S
        result = self._forwarder.attempt(
            request,
            (host, int(port)),
            deadline_s,
            connection_limit=max(1, self._connection_limit(target)),
        )
        match result:
            case Ok(answer):
                answer.body.limit_until(deadline_s)
                return _read(answer)
            case Err(failed) if failed.refused_not_run:
                return 503, b""
            case _:
                return None


def _read(answer: UpstreamResponse) -> tuple[int, bytes] | None:
    data = b""
    try:
        for piece in answer.body:
            data += piece
            if len(data) > MAX_ANSWER_BYTES:
                break
    except VerbenaError:
        return None
    finally:
        answer.body.close()
    return answer.status, data
