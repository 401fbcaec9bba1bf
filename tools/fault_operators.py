"""Operators of a fault run, and a record of how instances show the edits."""

import json
import random
import threading
import time

import urllib3

from fault_recorder import Recorder
from standins.history_event import (
    EditAccepted,
    EditOutcomeUnknown,
    RevisionSeen,
    ValueSeen,
)
from standins.local_deployment import LocalDeployment
from verbena.exit_codes import ExitCode

# No session uses this workspace, so its rate may change at any time.
EDITED_PATH = "/workspaces/small8"
EDITED_FIELD = "rate_per_s"
EDITS_PER_OPERATOR = 8
OPERATORS = 2
POLL_PERIOD_S = 0.1
POLL_TIMEOUT_S = 1.0
SETTLE_TIMEOUT_S = 60.0


class Operator:
    """Sets one field repeatedly while another operator does the same."""

    def __init__(
        self,
        local: LocalDeployment,
        recorder: Recorder,
        number: int,
        rng: random.Random,
    ) -> None:
        self._local = local
        self._recorder = recorder
        self._number = number
        self._rng = rng

    def run(self) -> None:
        """Make all edits; each of them sets a different value."""
        known_revision = 0
        for edit in range(EDITS_PER_OPERATOR):
            value = float(20 + OPERATORS * edit + self._number)
            expected = known_revision if self._rng.random() < 0.5 else 0
            known_revision = self._edit(value, expected)
            time.sleep(self._rng.uniform(0.0, 0.5))

    def _edit(self, value: float, expected: int) -> int:
        arguments = ["set", EDITED_PATH, f"{EDITED_FIELD}={value}", "--json"]
        if expected:
            arguments += ["--expected-revision", str(expected)]
        result = self._local.run_verbena(*arguments)
        now_s = time.monotonic()
        if result.returncode == ExitCode.OUTCOME_UNKNOWN:
            self._recorder.add(
                EditOutcomeUnknown(
                    at_s=now_s,
                    path=EDITED_PATH,
                    field=EDITED_FIELD,
                    value=value,
                )
            )
            return 0
        response = json.loads(result.stdout or "{}")
        revision = int(response.get("config_revision", 0))
        if result.returncode == 0:
            self._recorder.add(
                EditAccepted(
                    at_s=now_s,
                    path=EDITED_PATH,
                    field=EDITED_FIELD,
                    value=value,
                    config_revision=revision,
                    expected_revision=expected,
                )
            )
        return revision


def run_competing_operators(
    local: LocalDeployment, recorder: Recorder, rng: random.Random
) -> None:
    """Let several operators edit one field at the same time."""
    threads = [
        threading.Thread(
            target=Operator(
                local, recorder, number, random.Random(rng.getrandbits(64))
            ).run
        )
        for number in range(OPERATORS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class RevisionWatch:
    """Records the configuration revision that each instance shows."""

    def __init__(self, local: LocalDeployment, recorder: Recorder) -> None:
        self._local = local
        self._recorder = recorder
        self._address = next(iter(local.settings.addresses.values()))
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(name,))
            for name in local.instances
        ]

    def start(self) -> None:
        """Start a thread for each instance."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for their end."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def settle(self) -> None:
        """Wait until all running instances show the newest revision."""
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end_s:
            names = [
                name
                for name in self._local.instances
                if self._local.is_running(name)
            ]
            if not names:
                return
            events = self._recorder.events()
            newest = max(
                (
                    e.config_revision
                    for e in events
                    if isinstance(e, EditAccepted)
                ),
                default=0,
            )
            last = {
                e.instance: e.config_revision
                for e in events
                if isinstance(e, RevisionSeen)
            }
            if all(last.get(name, -1) >= newest for name in names):
                return
            time.sleep(POLL_PERIOD_S)

    def record_value(self) -> None:
        """Record the final value of the edited field."""
        result = self._local.run_verbena(
            "get", EDITED_PATH, EDITED_FIELD, "--json"
        )
        shown = json.loads(result.stdout)
        self._recorder.add(
            ValueSeen(
                at_s=time.monotonic(),
                path=EDITED_PATH,
                field=EDITED_FIELD,
                value=float(shown[EDITED_FIELD]["value"]),
            )
        )

    def _watch(self, name: str) -> None:
        http = urllib3.PoolManager(retries=False)
        url = (
            f"http://{self._local.instances[name].caller}/v1/lookup"
            f"?service=catalogue&address={self._address}"
        )
        while not self._ended.wait(POLL_PERIOD_S):
            try:
                response = http.request("GET", url, timeout=POLL_TIMEOUT_S)
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                self._recorder.add(
                    RevisionSeen(
                        at_s=time.monotonic(),
                        instance=name,
                        config_revision=response.json()["config_revision"],
                    )
                )
