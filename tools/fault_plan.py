"""Faults of a fault run: their choice by the seed, and how to apply them."""

import itertools
import random
import threading
import time
from collections.abc import Callable

import urllib3

from fault_callers import WITHDRAWN_KEY_WORKSPACE, region_names
from fault_operators import run_competing_operators
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
# New kinds of faults are added at the end, so that the faults of existing
# seeds stay the same.
PLANS: tuple[tuple[str, ...], ...] = (
    *((name,) for name in FAULTS),
    *itertools.combinations(FAULTS, 2),
    *((name, name) for name in FAULTS),
    *((name,) for name in FLEET_FAULTS),
    *((name, name) for name in FLEET_FAULTS),
    *itertools.combinations(FLEET_FAULTS, 2),
    *itertools.product(FLEET_FAULTS, FAULTS),
)
# One is longer than the freshness period; the other exceeds the lifetime of a
# grant by 4 s.
FREEZE_DURATIONS_S = (4.0, 9.5)
REGION_LOSS_S = 8.0
SHUTDOWN_TIMEOUT_S = 60.0
RESTART_TIMEOUT_S = 30.0


def faults_of_seed(seed: int) -> tuple[str, ...]:
    """Return the faults of a seed."""
    return PLANS[seed % len(PLANS)]


class FaultPlan:
    """Applies faults at times that the seed determines.

    The method for a fault has the fault's name, with underscores.

    :ivar notes: faults that could not be applied.
    """

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
        self._freeze_s = rng.choice(FREEZE_DURATIONS_S)
        self._targets = rng.sample(sorted(local.target_ports), 6)
        self._catalogue = [f"catalogue/t{n}" for n in range(1, 10)]
        self._drained_target = f"catalogue/t{rng.randint(10, 16)}"
        self._start_times_s = (rng.uniform(2.0, 4.0), rng.uniform(2.0, 6.0))
        self._store_lock = threading.Lock()
        self._store_faults: dict[str, object] = {}
        others = sorted(set(local.instances) - set(self._victims))
        self._leaving = rng.sample(others, len(others))
        # The store belongs to the first region.
        lost = region_names(local)[1:]
        self._lost_regions = rng.sample(lost, len(lost))
        self._edits_rng = random.Random(rng.getrandbits(64))
        self._process_lock = threading.Lock()
        self._victim_counts = [0, 0]
        self._target_lock = threading.Lock()
        self._target_faults: dict[str, dict[str, object]] = {}
        self.notes: list[str] = []

    def start(self, faults: tuple[str, ...]) -> list[threading.Thread]:
        """Start one thread for each fault and return the threads."""
        threads = [
            threading.Thread(target=self._run, args=(name, start_s))
            for name, start_s in zip(faults, self._start_times_s, strict=False)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _run(self, name: str, start_s: float) -> None:
        time.sleep(start_s)
        try:
            getattr(self, "_" + name.replace("-", "_"))()
        except (RuntimeError, OSError, urllib3.exceptions.HTTPError) as error:
            self.notes.append(f"{name} failed: {error!r:.300}")

    def _kill(self) -> None:
        victim = self._choose_victim(0)
        self._kill_instance(victim)
        time.sleep(2.0)
        self._start_instance(victim)

    def _freeze(self) -> None:
        victim = self._choose_victim(1)
        with self._process_lock:
            if not self._local.is_running(victim):
                return
            self._local.freeze(victim)
        time.sleep(self._freeze_s)
        with self._process_lock:
            # If the frozen process was replaced meanwhile, the new process
            # ignores the signal.
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
        exit_code = process.wait(SHUTDOWN_TIMEOUT_S)
        self._recorder.add(
            ShutdownEnded(
                at_s=time.monotonic(),
                instance=self._local.instances[name].caller,
                exit_code=exit_code,
            )
        )
        self._start_instance(name)

    def _race(self) -> None:
        run_competing_operators(self._local, self._recorder, self._edits_rng)

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
            self._kill_instance(name)
        for name in targets:
            self._set_target(name, unreachable=True)
        time.sleep(REGION_LOSS_S)
        for name in targets:
            self._set_target(name, unreachable=False)
        for name in names:
            self._start_instance(name)

    def _choose_victim(self, number: int) -> str:
        """Return the instance for a fault; a second fault gets another one."""
        with self._process_lock:
            self._victim_counts[number] += 1
            return self._victims[
                (number + self._victim_counts[number] - 1) % 2
            ]

    def _kill_instance(self, name: str) -> None:
        with self._process_lock:
            if self._local.is_running(name):
                self._local.kill(name)

    def _start_instance(self, name: str) -> None:
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
            self._store_faults |= changes
            self._local.set_store_faults(**self._store_faults)

    def _set_target(self, name: str, **changes: object) -> None:
        with self._target_lock:
            faults = self._target_faults.setdefault(name, {})
            faults |= changes
            self._apply_target_faults(name, faults)

    def _apply_target_faults(
        self, name: str, faults: dict[str, object]
    ) -> None:
        """Set the faults of a target, after its restart if it has crashed."""
        end_s = time.monotonic() + RESTART_TIMEOUT_S
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
        key_id = self._local.settings.keys[WITHDRAWN_KEY_WORKSPACE].split("_")[
            1
        ]
        self._local.verbena("key", "withdraw", key_id)
        now_s = time.monotonic()
        self._recorder.add(KeyWithdrawn(at_s=now_s, key_id=key_id))

    def _drain(self) -> None:
        service, target = self._drained_target.split("/")
        path = f"/services/{service}/targets/{target}"
        self._local.verbena("drain", "start", path)
        now_s = time.monotonic()
        self._recorder.add(
            DrainStarted(at_s=now_s, target=self._drained_target)
        )
