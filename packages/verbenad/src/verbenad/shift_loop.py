"""Drives the traffic shifts whose shard this instance owns."""

from collections.abc import Callable
from dataclasses import replace

import eventlet
import logbook
from result import Err, Ok

from verbenad.bus import Bus, Sender
from verbenad.edit_port import EditPort
from verbenad.fleet import Fleet
from verbenad.link_usage import LinkUsage
from verbenad.lookup_table import LookupTable
from verbenad.service_scheduler import ServiceScheduler
from verbenaworks.agreement import Agreement
from verbenaworks.budget_spec import shard_of
from verbenaworks.compiled_config import CompiledConfig, ShiftConfig
from verbenaworks.edit import Edit, SetValue
from verbenaworks.freshness import FENCING_WAIT_S
from verbenaworks.shift_driver import (
    Advance,
    Done,
    MemberView,
    ShiftDriver,
    ShiftMeasurements,
    ShiftState,
    Wait,
)
from verbenaworks.shift_messages import AskShiftNotes, ShiftNotes

PERIOD_S = 1.0
OPERATOR = "verbenad"
# How long a status request waits for drivers that are unreachable.
_NOTES_WAIT_S = 0.5
_NOTES_POLL_S = 0.01
_log = logbook.Logger("verbenad.shift")


class ShiftLoop:
    """One driver for each running shift of this instance's shards."""

    def __init__(
        self,
        *,
        agreement: Agreement,
        fleet: Fleet,
        scheduler: ServiceScheduler,
        table: LookupTable,
        edits: EditPort,
        config: Callable[[], CompiledConfig | None],
        now_s: Callable[[], float],
        usage: LinkUsage,
        bus: Bus,
    ) -> None:
        self._usage = usage
        self._bus = bus
        self._agreement = agreement
        self._fleet = fleet
        self._scheduler = scheduler
        self._table = table
        self._edits = edits
        self._config = config
        self._now_s = now_s
        self._drivers: dict[str, ShiftDriver] = {}
        self._seen: dict[str, tuple[int, int]] = {}
        self._last_reasons: dict[str, str] = {}
        self._notes_of: dict[str, tuple[str, ...]] = {}
        bus.subscribe(AskShiftNotes, self._on_question)
        bus.subscribe(ShiftNotes, self._on_notes)

    def tick(self) -> None:
        """Decide about all shifts; call it every ``PERIOD_S`` seconds."""
        config = self._config()
        if config is None:
            return
        for name in self._drivers.keys() - config.shifts.keys():
            self._forget(name)
        for shift in config.shifts.values():
            if self._is_driver(shift):
                self._decide(config, shift)
            else:
                self._forget(shift.name)

    def notes(self) -> dict[str, tuple[str, ...]]:
        """Return what the running shifts are doing, by driver.

        The drivers are asked, and those that do not answer are left out.
        """
        config = self._config()
        if config is None:
            return {}
        drivers = {
            owner.bus_address
            for shift in config.shifts.values()
            if shift.state == "running"
            and (owner := self._fleet.owner(_shard(shift.name)))
        }
        self._notes_of.clear()
        for address in drivers:
            self._bus.send(address, AskShiftNotes())
        end_s = self._now_s() + _NOTES_WAIT_S
        while len(self._notes_of) < len(drivers) and self._now_s() < end_s:
            eventlet.sleep(_NOTES_POLL_S)
        return dict(self._notes_of)

    def _on_question(self, sender: Sender, _question: AskShiftNotes) -> None:
        notes = tuple(
            f"shift {name} {self._last_reasons[name]}"
            for name in sorted(self._drivers)
            if name in self._last_reasons
        )
        self._bus.send(sender.address, ShiftNotes(notes=notes))

    def _on_notes(self, sender: Sender, answer: ShiftNotes) -> None:
        self._notes_of[sender.name] = answer.notes

    def _is_driver(self, shift: ShiftConfig) -> bool:
        lease = self._agreement.lease(_shard(shift.name))
        return (
            shift.state == "running"
            and lease is not None
            and lease.is_valid(self._now_s())
        )

    def _forget(self, name: str) -> None:
        self._drivers.pop(name, None)
        self._seen.pop(name, None)

    def _decide(self, config: CompiledConfig, shift: ShiftConfig) -> None:
        plan = self._table.plan_of(shift)
        if plan is None:
            return
        seen = self._seen.get(shift.name)
        if seen is None or seen[0] != shift.step:
            # The revision at which this instance first sees the step is at
            # least the one that set it.
            seen = (shift.step, config.config_revision)
            self._seen[shift.name] = seen
        driver = self._drivers.setdefault(
            shift.name, ShiftDriver(FENCING_WAIT_S)
        )
        decision = driver.decide(
            self._now_s(),
            ShiftState(
                step=shift.step,
                last_step=plan.last_step(),
                step_revision=seen[1],
                min_headroom_share=(
                    config.regions[shift.to_region].headroom_share
                ),
            ),
            [
                MemberView(
                    name=member.name, config_revision=member.config_revision
                )
                for member in self._fleet.members()
                if member.is_running
            ],
            self._measurements(config, shift.to_region),
            config.lookup_ttl_s,
        )
        match decision:
            case Advance(step=step):
                self._note(shift.name, f"takes step {step}")
                eventlet.spawn_n(self._advance, config, shift, step)
            case Wait(reason=reason):
                self._note(shift.name, f"holds at step {shift.step}: {reason}")
            case Done():
                self._note(shift.name, f"is complete at step {shift.step}")

    def _measurements(
        self, config: CompiledConfig, region: str
    ) -> ShiftMeasurements | None:
        """Return the newest measurements, and ask for those of next time."""
        self._usage.ask(config, region)
        measurements = self._scheduler.region_measurements(region)
        if measurements is None:
            return None
        return replace(measurements, links=self._usage.measure(config, region))

    def _advance(
        self, config: CompiledConfig, shift: ShiftConfig, step: int
    ) -> None:
        edit = Edit(
            edit_id=f"shift-{shift.name}-{config.config_revision}-{step}",
            operator=OPERATOR,
            read_revision=config.config_revision,
            changes=(
                SetValue(
                    path=f"/shifts/{shift.name}", field="step", value=step
                ),
            ),
        )
        match self._edits.submit(edit):
            case Ok(revision):
                self._note(
                    shift.name, f"is at step {step} since revision {revision}"
                )
            case Err(error):
                self._note(shift.name, f"could not take step {step}: {error}")

    def _note(self, name: str, text: str) -> None:
        """Log a decision when it differs from the last one."""
        if self._last_reasons.get(name) != text:
            self._last_reasons[name] = text
            _log.info("shift {} {}", name, text)


def _shard(shift: str) -> int:
    return shard_of(f"shift/{shift}")
