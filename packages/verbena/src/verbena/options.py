"""Options shared by several commands."""

import os
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from verbena.admin_client import AdminClient
from verbena.cli_errors import UsageError


@dataclass(frozen=True, kw_only=True)
class ConnectionOptions:
    """Options of every command that talks to an instance."""

    instance: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            value_name="HOST:PORT",
            help="Operator port of an entry instance; repeat to name several, "
            "tried in turn. Default: VERBENA_INSTANCES, separated by commas.",
        ),
    ] = field(default_factory=list)
    json: Annotated[
        bool, cappa.Arg(long=True, help="Print JSON instead of tables.")
    ] = False

    def client(self) -> AdminClient:
        """Return a client for the given instances.

        :raises UsageError: if no instance or no token is given.
        """
        named = os.environ.get("VERBENA_INSTANCES", "").split(",")
        instances = self.instance or [name for name in named if name]
        if not instances:
            raise UsageError(
                "no entry instance is named",
                "use --instance HOST:PORT or set VERBENA_INSTANCES",
            )
        token = os.environ.get("VERBENA_TOKEN", "")
        if not token:
            raise UsageError(
                "no operator token is set",
                "set VERBENA_TOKEN to your token",
            )
        return AdminClient(instances, token)


@dataclass(frozen=True, kw_only=True)
class EditOptions(ConnectionOptions):
    """Options of every command that edits the configuration."""

    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Only check the edit.")
    ] = False
    wait: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Wait until every live instance has the edit in force.",
        ),
    ] = False
    timeout_s: Annotated[
        float, cappa.Arg(long=True, help="Longest wait of --wait.")
    ] = 30.0
    expected_revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name="N",
            help="Refuse the edit unless the configuration is at N.",
        ),
    ] = None
    edit_id: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name="ID",
            help="Send the edit under this id; an edit that was already "
            "accepted under it is not applied again.",
        ),
    ] = None
