"""Faults of a fault run: which ones a seed has, and how they are applied."""

import itertools
import random
import threading
import time
from collections.abc import Callable

import urllib3

from fault_callers import WITHDRAWN, regions_of
from fault_operators import race
from fault_recorder import Recorder
from standins.history_event import (
    DrainStarted,
    KeyWithdrawn,
    ShutdownEnded,
    ShutdownStarted,
)
from standins.local_deployment import LocalDeployment

FAULTS = (
    "kill",
    "freeze",
    "store-down",
    "store-answers-lost",
    "store-slow",
    "crash",
    "silent",
    "false-health",
    "withdraw-key",
    "drain",
)
FLEET_FAULTS = ("shutdown", "race", "region-lost")
# Later kinds follow at the end, so that seeds keep their faults.
PLANS: tuple[tuple[str, ...], ...] = (
    *((name,) for name in FAULTS),
    *itertools.combinations(FAULTS, 2),
    *((name, name) for name in FAULTS),
    *((name,) for name in FLEET_FAULTS),
    *((name, name) for name in FLEET_FAULTS),
    *itertools.combinations(FLEET_FAULTS, 2),
    *itertools.product(FLEET_FAULTS, FAULTS),
)
# Longer than a freshness period, and longer than a grant by 4 s.
FREEZES_S = (4.0, 9.5)
REGION_LOST_S = 8.0
SHUTDOWN_LIMIT_S = 60.0
RESTART_LIMIT_S = 30.0


def faults_of(seed: int) -> tuple[str, ...]:
    """Return the faults of a seed."""
    return PLANS[seed % len(PLANS)]


class FaultPlan:
    """Applies the faults of a seed at seeded times."""

    def __init__(
        self,
        local: LocalDeployment,
        recorder: Recorder,
        rng: random.Random,
        crash_servers: Callable[[], None],
    ) -> None:
        self._local = local
        self._recorder = recorder
        self._crash_servers = crash_servers
        self._victims = rng.sample(sorted(local.instances), 2)
        self._freeze_s = rng.choice(FREEZES_S)
        self._targets = rng.sample(sorted(local.target_ports), 6)
        self._catalogue = [f"catalogue/t{n}" for n in range(1, 10)]
        self._drained = f"catalogue/t{rng.randint(10, 16)}"
        self._begins_s = (rng.uniform(2.0, 4.0), rng.uniform(2.0, 6.0))
        self._store_lock = threading.Lock()
        self._store: dict[str, object] = {}
        others = sorted(set(local.instances) - set(self._victims))
        self._leaving = rng.sample(others, len(others))
        # The store belongs to the first region.
        lost = regions_of(local)[1:]
        self._lost_regions = rng.sample(lost, len(lost))
        self._edits_rng = random.Random(rng.getrandbits(64))
        self._process_lock = threading.Lock()
        self._victims_used = [0, 0]
        self._target_lock = threading.Lock()
        self._target_faults: dict[str, dict[str, object]] = {}
        self.notes: list[str] = []

    def start(self, faults: tuple[str, ...]) -> list[threading.Thread]:
        """Start a thread for each fault."""
        threads = [
            threading.Thread(target=self._run, args=(name, begin_s))
            for name, begin_s in zip(faults, self._begins_s, strict=False)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _run(self, name: str, begin_s: float) -> None:
        time.sleep(begin_s)
        try:
            getattr(self, "_" + name.replace("-", "_"))()
        except (RuntimeError, OSError, urllib3.exceptions.HTTPError) as error:
            self.notes.append(f"{name} failed: {error!r:.300}")

    def _kill(self) -> None:
        victim = self._victim(0)
        self._end(victim)
        time.sleep(2.0)
        self._begin(victim)

    def _freeze(self) -> None:
        victim = self._victim(1)
        with self._process_lock:
            if not self._local.is_running(victim):
                return
            self._local.freeze(victim)
        time.sleep(self._freeze_s)
        with self._process_lock:
            # A process that replaced the frozen one ignores the signal.
            if self._local.is_running(victim):
                self._local.thaw(victim)

    def _shutdown(self) -> None:
        name = self._leaving.pop()
        with self._process_lock:
            if not self._local.is_running(name):
                return
            self._recorder.add(
                ShutdownStarted(
                    at_s=time.monotonic(),
                    instance=self._local.instances[name].caller,
                )
            )
            process = self._local.terminate(name)
        exit_code = process.wait(SHUTDOWN_LIMIT_S)
        self._recorder.add(
            ShutdownEnded(
                at_s=time.monotonic(),
                instance=self._local.instances[name].caller,
                exit_code=exit_code,
            )
        )
        self._begin(name)

    def _race(self) -> None:
        race(self._local, self._recorder, self._edits_rng)

    def _region_lost(self) -> None:
        region = self._lost_regions.pop()
        names = [
            name
            for name, address in self._local.instances.items()
            if address.region == region
        ]
        targets = [
            name
            for name in self._local.target_ports
            if self._local.region_of(name) == region
        ]
        for name in names:
            self._end(name)
        for name in targets:
            self._set_target(name, unreachable=True)
        time.sleep(REGION_LOST_S)
        for name in targets:
            self._set_target(name, unreachable=False)
        for name in names:
            self._begin(name)

    def _victim(self, number: int) -> str:
        """Return another instance for the second fault of the same kind."""
        with self._process_lock:
            self._victims_used[number] += 1
            return self._victims[(number + self._victims_used[number] - 1) % 2]

    def _end(self, name: str) -> None:
        with self._process_lock:
            if self._local.is_running(name):
                self._local.kill(name)

    def _begin(self, name: str) -> None:
        with self._process_lock:
            if not self._local.is_running(name):
                self._local.start_instance(name)

    def _store_down(self) -> None:
        self._set_store(down=True)
        time.sleep(8.0)
        self._set_store(down=False)

    def _store_answers_lost(self) -> None:
        for _ in range(6):
            self._set_store(lost_answers=3)
            time.sleep(1.0)
        self._set_store(lost_answers=0)

    def _store_slow(self) -> None:
        self._set_store(slow_s=1.5)
        time.sleep(8.0)
        self._set_store(slow_s=0.0)

    def _set_store(self, **changes: object) -> None:
        with self._store_lock:
            self._store |= changes
            self._local.set_store_faults(**self._store)

    def _set_target(self, name: str, **changes: object) -> None:
        with self._target_lock:
            faults = self._target_faults.setdefault(name, {})
            faults |= changes
            self._put_target(name, faults)

    def _put_target(self, name: str, faults: dict[str, object]) -> None:
        """Set a target's failures, after its restart if it has crashed."""
        end_s = time.monotonic() + RESTART_LIMIT_S
        while True:
            try:
                self._local.set_target_faults(name, **faults)
                return
            except urllib3.exceptions.HTTPError:
                if time.monotonic() > end_s:
                    raise
            time.sleep(0.1)

    def _crash(self) -> None:
        self._crash_servers()

    def _silent(self) -> None:
        for name in self._targets:
            self._set_target(name, silent=True)
        time.sleep(0.2)
        for name in self._targets:
            self._set_target(name, silent=False)

    def _false_health(self) -> None:
        for name in self._catalogue[1:]:
            self._set_target(name, reported_healthy=False)
        self._set_target(
            self._catalogue[0], draining=True, reported_healthy=True
        )
        time.sleep(6.0)
        for name in self._catalogue:
            self._set_target(name, draining=False, reported_healthy=None)

    def _withdraw_key(self) -> None:
        key_id = self._local.settings.keys[WITHDRAWN].split("_")[1]
        self._local.verbena("key", "withdraw", key_id)
        now_s = time.monotonic()
        self._recorder.add(KeyWithdrawn(at_s=now_s, key_id=key_id))

    def _drain(self) -> None:
        service, target = self._drained.split("/")
        path = f"/services/{service}/targets/{target}"
        self._local.verbena("drain", "start", path)
        now_s = time.monotonic()
        self._recorder.add(DrainStarted(at_s=now_s, target=self._drained))
