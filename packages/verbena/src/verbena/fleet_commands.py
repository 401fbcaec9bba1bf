"""Commands for instances, writers and the outcome of edits."""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
import msgspec
from cappa.completion.shells import available_shells

from verbena.admin_client import AdminClient
from verbena.cli_errors import NotSettled, UsageError
from verbena.console_output import print_json, print_table
from verbena.edit_session import read_revision_of
from verbena.options import ConnectionOptions
from verbenaworks.admin_messages import (
    EditAccepted,
    EditNotFound,
    InstanceStatus,
)
from verbenaworks.edit import Edit
from verbenaworks.errors import EditRefused, OutcomeUnknown


@dataclass(frozen=True, kw_only=True)
class Status(ConnectionOptions):
    """Print the state, revision, age and load of every instance.

    Below, it prints what each running shift is doing or waits for.

    Example: `verbena status --json`
    """

    def run(self) -> None:
        """Run the command."""
        instances = sorted(self.client().get_status(), key=lambda i: i.name)
        if self.json:
            print_json(instances)
            return
        print_table(
            (
                "instance",
                "state",
                "region",
                "failure domain",
                "revision",
                "fresh",
                "age_s",
                "load",
                "writer",
            ),
            [_status_row(instance) for instance in instances],
        )
        for instance in instances:
            for note in instance.shifts:
                print(f"{instance.name}: {note}")


def _status_row(instance: InstanceStatus) -> tuple[object, ...]:
    return (
        instance.name,
        instance.state,
        instance.region,
        instance.failure_domain,
        instance.config_revision,
        "yes" if instance.fresh else "no",
        f"{instance.age_s:.1f}",
        f"{instance.load:g}",
        "yes" if instance.writer else "",
    )


@dataclass(frozen=True, kw_only=True)
class Settle(ConnectionOptions):
    """Determine the outcome of an edit whose answer was lost.

    If the edit is not found, its id is cancelled, so that it can not take
    effect later either. Exit code 0: it was accepted; 1: it was not and
    never will be; 3: still unknown.

    Example: `verbena settle 41-5d0c9e2b7a41f386`
    """

    edit_id: Annotated[str, cappa.Arg(help="The id of the edit.")]

    def run(self) -> None:
        """Run the command."""
        found = self._find_or_cancel(self.client())
        if found.cancelled:
            raise EditRefused(
                "not-applied",
                f"edit {self.edit_id} was not applied, and its id is "
                "cancelled",
                "make the change again if it is still needed",
            )
        if self.json:
            print_json(msgspec.to_builtins(found))
            return
        print(
            f"edit {self.edit_id} was accepted "
            f"(revision {found.config_revision})"
        )

    def _find_or_cancel(self, client: AdminClient) -> EditAccepted:
        try:
            found = client.find_edit(self.edit_id)
            if isinstance(found, EditNotFound):
                return self._cancel(client)
        except EditRefused as error:
            # A refused query or cancellation says nothing about the outcome
            # of the edit itself.
            raise _not_settled_error(self.edit_id, error) from error
        return found

    def _cancel(self, client: AdminClient) -> EditAccepted:
        cancellation = Edit(
            edit_id=self.edit_id,
            operator="",
            read_revision=read_revision_of(self.edit_id),
            changes=(),
        )
        try:
            revision = client.submit(cancellation).config_revision
        except EditRefused as error:
            if error.code != "already-accepted":
                raise
            found = client.find_edit(self.edit_id)
            if isinstance(found, EditAccepted):
                return found
            # The instance that was queried lags behind the writer.
            raise OutcomeUnknown(self.edit_id) from error
        return EditAccepted(config_revision=revision, cancelled=True)


def _not_settled_error(edit_id: str, error: EditRefused) -> NotSettled:
    remedy = error.remedy
    if error.code == "revision-too-old":
        remedy = "compare the values with: verbena get"
    return NotSettled(
        f"the outcome of edit {edit_id} is still unknown: {error.message}",
        remedy,
    )


@dataclass(frozen=True, kw_only=True)
class WritersReplace(ConnectionOptions):
    """Replace writers that are gone for good.

    Example: `verbena writers replace --confirm-dead`
    """

    confirm_dead: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Confirm that no process of a listed writer runs any more.",
        ),
    ] = False

    def run(self) -> None:
        """Run the command."""
        if not self.confirm_dead:
            raise UsageError(
                "the writers must be known to be dead",
                "check them with verbena status, then add --confirm-dead",
            )
        replaced = self.client().replace_writers()
        if self.json:
            print_json(msgspec.to_builtins(replaced))
        else:
            print("the writers are " + ", ".join(replaced.writers))


cappa.command(name="replace")(WritersReplace)


@dataclass(frozen=True, kw_only=True)
class Writers:
    """Replace the writers of the agreed state."""

    command: cappa.Subcommands[WritersReplace]


@dataclass(frozen=True, kw_only=True)
class Completion:
    """Print the completion script of a shell.

    Example: `verbena completion bash > ~/.local/share/bash-completion/
    completions/verbena`
    """

    shell: Annotated[
        Literal["bash", "zsh", "fish"], cappa.Arg(help="The shell.")
    ]

    def run(self) -> None:
        """Run the command."""
        argument: cappa.Arg[bool] = cappa.Arg(long=["--completion"])
        shell = available_shells[self.shell]
        print(shell.backend_template("verbena", argument))
