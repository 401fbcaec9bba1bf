"""Asks backend servers for their health and load.

A probe costs a target about 6 ms, so each instance spreads its probes over
the period, and the period grows with the number of instances.
"""

import itertools
from collections.abc import Callable, Sequence

import eventlet
from result import Err, Ok

from verbenad.forward_request import ForwardRequest
from verbenad.forwarder import Forwarder
from verbenad.upstream_answer import UpstreamAnswer
from verbenaworks.errors import VerbenaError
from verbenaworks.load_report import (
    MAX_ANSWER_BYTES,
    Health,
    parse_health,
    parse_load,
)
from verbenaworks.target import TargetInfo
from verbenaworks.target_choice import TargetChoice

PROBE_PERIOD_S = 1.5
# At 11 instances a target then answers 7 probes/s, or 4% of its time.
PROBE_TIMEOUT_S = 1.0
# In a large fleet the probes of all instances together keep to this rate.
MAX_PROBES_PER_TARGET_PER_S = 10.0
# Health must be known within seconds; reports of load lag anyway and weigh
# less than own observations.
HEALTH_PROBES_PER_LOAD = 4
HEALTH_PATH = "/health"
LOAD_PATH = "/load"


class TargetProber:
    """Probes of one instance.

    :param instances: current number of instances in the fleet.
    :param on_change: called when a service's targets may have changed state.
    """

    def __init__(
        self,
        *,
        choice: TargetChoice,
        forwarder: Forwarder,
        connection_limit: Callable[[TargetInfo], int],
        now_s: Callable[[], float],
        instances: Callable[[], int],
        on_change: Callable[[str], None],
    ) -> None:
        self._choice = choice
        self._now_s = now_s
        self._instances = instances
        self._on_change = on_change
        self._targets: Sequence[TargetInfo] = ()
        self._forwarder = forwarder
        self._connection_limit = connection_limit

    def set_targets(self, targets: Sequence[TargetInfo]) -> None:
        """Set the targets to probe."""
        self._targets = targets

    def run(self) -> None:
        """Probe all targets in turn, for ever."""
        for number in itertools.count():
            targets = self._targets
            period_s = self._period_s()
            with_load = number % HEALTH_PROBES_PER_LOAD == 0
            for target in targets:
                eventlet.spawn_n(self._probe, target, with_load)
                eventlet.sleep(period_s / len(targets))
            if not targets:
                eventlet.sleep(PROBE_PERIOD_S)

    def _period_s(self) -> float:
        return max(
            PROBE_PERIOD_S, self._instances() / MAX_PROBES_PER_TARGET_PER_S
        )

    def _probe(self, target: TargetInfo, with_load: bool) -> None:
        asked_s = self._now_s()
        health, load = Health.NO_ANSWER, None
        answer = self._get(target, HEALTH_PATH)
        if answer is not None:
            health = parse_health(*answer)
        if answer is not None and with_load:
            answer = self._get(target, LOAD_PATH)
            load = parse_load(*answer) if answer is not None else None
        try:
            self._choice.probed(
                self._now_s(), asked_s, target.service, target.name, health
            )
            if load is not None:
                self._choice.reported(
                    asked_s, target.service, target.name, load
                )
        except KeyError:
            # The target was removed while the probe was under way.
            return
        self._on_change(target.service)

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
        result = self._forwarder.attempt(
            request,
            (host, int(port)),
            self._now_s() + PROBE_TIMEOUT_S,
            connection_limit=max(1, self._connection_limit(target)),
        )
        match result:
            case Ok(answer):
                return _read(answer)
            case Err(failed) if failed.refused_not_run:
                return 503, b""
            case _:
                return None


def _read(answer: UpstreamAnswer) -> tuple[int, bytes] | None:
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
