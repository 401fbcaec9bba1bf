"""Commands about instances, writers and outcomes of edits."""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
import msgspec
from cappa.completion.shells import available_shells

from verbena.admin_client import AdminClient
from verbena.cli_errors import HistoryTooShort, UsageError
from verbena.console_output import print_json, print_table
from verbena.edit_session import read_revision_in
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

    Example: `verbena status --json`
    """

    def run(self) -> None:
        """Run the command."""
        instances = sorted(self.client().status(), key=lambda i: i.name)
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
        client = self.client()
        found = client.find(self.edit_id)
        if isinstance(found, EditNotFound):
            found = self._cancel(client)
        if found.cancelled:
            raise _not_applied(self.edit_id)
        if self.json:
            print_json(msgspec.to_builtins(found))
            return
        print(
            f"edit {self.edit_id} was accepted "
            f"(revision {found.config_revision})"
        )

    def _cancel(self, client: AdminClient) -> EditAccepted:
        cancellation = Edit(
            edit_id=self.edit_id,
            operator="",
            read_revision=read_revision_in(self.edit_id),
            changes=(),
        )
        try:
            client.submit(cancellation)
        except EditRefused as error:
            return self._settled(client, error)
        raise _not_applied(self.edit_id)

    def _settled(
        self, client: AdminClient, error: EditRefused
    ) -> EditAccepted:
        match error.code:
            case "already-accepted":
                found = client.find(self.edit_id)
                if isinstance(found, EditAccepted):
                    return found
                # The instance that was asked lags behind the writer.
                raise OutcomeUnknown(self.edit_id) from error
            case "revision-too-old":
                raise HistoryTooShort(
                    f"the history no longer reaches back to edit "
                    f"{self.edit_id}",
                    "compare the values with: verbena get",
                ) from error
            case _:
                raise error


def _not_applied(edit_id: str) -> EditRefused:
    return EditRefused(
        "not-applied",
        f"edit {edit_id} was not applied, and its id is cancelled",
        "make the change again if it is still needed",
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
