"""Commands for callers' keys and operators' tokens."""

import secrets
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from verbena.cli_errors import SecretOutcomeUnknown, UsageError
from verbena.edit_session import EditSession
from verbena.options import EditOptions
from verbenaworks.edit import Change, CreateBranch, DeleteBranch, SetValue
from verbenaworks.errors import OutcomeUnknown
from verbenaworks.key_digest import create_key, create_key_with_id
from verbenaworks.settings_path import path_names

TOKEN_PREFIX = "vt"


@dataclass(frozen=True, kw_only=True)
class KeyCreate(EditOptions):
    """Create a key of a workspace and print it once.

    Only a salted digest is stored, so the key cannot be printed again.

    Example: `verbena key create acme --wait`
    """

    workspace: Annotated[str, cappa.Arg(help="Name of the workspace.")]

    def run(self) -> None:
        """Run the command."""
        created = create_key(secrets.token_bytes)
        path = f"/workspaces/{self.workspace}/keys/{created.key_id}"
        _create_secret(
            self,
            created.key,
            [
                CreateBranch(path=path),
                SetValue(path=path, field="digest", value=created.digest),
            ],
            f"created key {created.key_id} of {self.workspace}",
            key_id=created.key_id,
            key=created.key,
        )


@dataclass(frozen=True, kw_only=True)
class KeyWithdraw(EditOptions):
    """Withdraw a key; it stops working within seconds.

    Example: `verbena key withdraw 4f1c2a9be0d3 --wait`
    """

    key_id: Annotated[
        str, cappa.Arg(help="The id in the middle of vk_<id>_<secret>.")
    ]

    def run(self) -> None:
        """Run the command."""
        session = EditSession(self)
        for path in session.document.tree.paths():
            if "/keys/" in path and path_names(path)[1] == self.key_id:
                session.run(
                    [DeleteBranch(path=path)],
                    f"withdrew key {self.key_id} of {path_names(path)[0]}",
                )
                return
        raise UsageError(
            f"there is no key with the id {self.key_id!r}",
            "list the keys of a workspace with: "
            "verbena get /workspaces/<workspace>/keys",
        )


cappa.command(name="create")(KeyCreate)


cappa.command(name="withdraw")(KeyWithdraw)


@dataclass(frozen=True, kw_only=True)
class Key:
    """Create and withdraw callers' keys."""

    command: cappa.Subcommands[KeyCreate | KeyWithdraw]


@dataclass(frozen=True, kw_only=True)
class OperatorCreate(EditOptions):
    """Create an operator and print the token once.

    Example: `verbena operator create ana --role write`
    """

    name: Annotated[str, cappa.Arg(help="Name of the operator.")]
    role: Annotated[
        Literal["read", "write"],
        cappa.Arg(long=True, help="What the operator may do."),
    ] = "read"

    def run(self) -> None:
        """Run the command."""
        path = f"/operators/{self.name}"
        created = create_key_with_id(
            secrets.token_bytes, self.name, TOKEN_PREFIX
        )
        _create_secret(
            self,
            created.key,
            [
                CreateBranch(path=path),
                SetValue(path=path, field="role", value=self.role),
                SetValue(
                    path=path, field="token_digest", value=created.digest
                ),
            ],
            f"created operator {self.name}",
            token=created.key,
        )


@dataclass(frozen=True, kw_only=True)
class OperatorDelete(EditOptions):
    """Delete an operator.

    Example: `verbena operator delete ana`
    """

    name: Annotated[str, cappa.Arg(help="Name of the operator.")]

    def run(self) -> None:
        """Run the command."""
        changes = [DeleteBranch(path=f"/operators/{self.name}")]
        EditSession(self).run(changes, f"deleted operator {self.name}")


cappa.command(name="create")(OperatorCreate)


cappa.command(name="delete")(OperatorDelete)


@dataclass(frozen=True, kw_only=True)
class Operator:
    """Create and delete operators."""

    command: cappa.Subcommands[OperatorCreate | OperatorDelete]


def _create_secret(
    options: EditOptions,
    secret: str,
    changes: list[Change],
    message: str,
    **details: str,
) -> None:
    """Send an edit that creates a secret, and print the secret.

    :param details: additional members of the JSON output.
    """
    notes = (secret, "store it now, it cannot be shown again")
    try:
        EditSession(options).run(changes, message, notes, **details)
    except OutcomeUnknown as error:
        raise SecretOutcomeUnknown(error.edit_id, secret) from error
