"""Commands for traffic shifts and drains."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from verbena.cli_errors import UsageError
from verbena.config_commands import Path
from verbena.edit_session import EditSession
from verbena.options import EditOptions
from verbenaworks.edit import Change, CreateBranch, SetValue
from verbenaworks.settings_tree import SettingsTree

ShiftName = Annotated[str, cappa.Arg(help="Name of the shift.")]


@dataclass(frozen=True, kw_only=True)
class ShiftStart(EditOptions):
    """Start a new traffic shift or go on with a paused one.

    Example: `verbena shift start s1 --from-region nairobi
    --to-region mombasa --cap-share 0.3 --step-share 0.05`
    """

    name: ShiftName
    from_region: Annotated[
        str | None, cappa.Arg(long=True, help="Region to take blocks from.")
    ] = None
    to_region: Annotated[
        str | None, cappa.Arg(long=True, help="Region to move blocks to.")
    ] = None
    cap_share: Annotated[
        float | None,
        cappa.Arg(long=True, help="Largest share of the region that moves."),
    ] = None
    step_share: Annotated[
        float | None, cappa.Arg(long=True, help="Share that a step moves.")
    ] = None

    def run(self) -> None:
        """Run the command."""
        session = EditSession(self)
        path = f"/shifts/{self.name}"
        changes: list[Change] = []
        if path not in session.document.tree:
            changes.append(CreateBranch(path=path))
        elif session.document.tree.value(path, "state") == "aborted":
            raise UsageError(
                f"shift {self.name} was aborted",
                "start a new shift under another name",
            )
        for field in ("from_region", "to_region", "cap_share", "step_share"):
            value = getattr(self, field)
            if value is not None:
                changes.append(SetValue(path=path, field=field, value=value))
        changes.append(SetValue(path=path, field="state", value="running"))
        session.run(changes, f"started shift {self.name}")


@dataclass(frozen=True, kw_only=True)
class ShiftPause(EditOptions):
    """Pause a traffic shift; what has moved stays.

    Example: `verbena shift pause s1`
    """

    name: ShiftName

    def run(self) -> None:
        """Run the command."""
        _stop_shift(self, self.name, "paused")


@dataclass(frozen=True, kw_only=True)
class ShiftAbort(EditOptions):
    """Abort a traffic shift; its blocks return to their region.

    Example: `verbena shift abort s1 --wait`
    """

    name: ShiftName

    def run(self) -> None:
        """Run the command."""
        _stop_shift(self, self.name, "aborted")


cappa.command(name="start")(ShiftStart)


cappa.command(name="pause")(ShiftPause)


cappa.command(name="abort")(ShiftAbort)


@dataclass(frozen=True, kw_only=True)
class Shift:
    """Start, pause and abort traffic shifts."""

    command: cappa.Subcommands[ShiftStart | ShiftPause | ShiftAbort]


@dataclass(frozen=True, kw_only=True)
class DrainStart(EditOptions):
    """Stop new work for a target or for all targets of a region.

    Example: `verbena drain start /services/stock/targets/t1 --wait`
    """

    path: Path

    def run(self) -> None:
        """Run the command."""
        _set_drain(self, self.path, True)


@dataclass(frozen=True, kw_only=True)
class DrainStop(EditOptions):
    """Allow new work again.

    Example: `verbena drain stop /regions/mombasa`
    """

    path: Path

    def run(self) -> None:
        """Run the command."""
        _set_drain(self, self.path, False)


cappa.command(name="start")(DrainStart)


cappa.command(name="stop")(DrainStop)


@dataclass(frozen=True, kw_only=True)
class Drain:
    """Start and stop drains."""

    command: cappa.Subcommands[DrainStart | DrainStop]


def _stop_shift(options: EditOptions, name: str, state: str) -> None:
    session = EditSession(options)
    path = f"/shifts/{name}"
    _require_branch(session.document.tree, path)
    change = SetValue(path=path, field="state", value=state)
    session.run([change], f"{state} shift {name}")


def _set_drain(options: EditOptions, path: str, drain: bool) -> None:
    session = EditSession(options)
    _require_branch(session.document.tree, path)
    change = SetValue(path=path, field="drain", value=drain)
    action = "started" if drain else "stopped"
    session.run([change], f"{action} the drain of {path}")


def _require_branch(tree: SettingsTree, path: str) -> None:
    if path not in tree:
        raise UsageError(
            f"{path} does not exist",
            "list the paths with: verbena get /",
        )
