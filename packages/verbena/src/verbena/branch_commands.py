"""Commands that create workspaces, services and targets."""

from dataclasses import dataclass, field
from typing import Annotated

import cappa

from verbena.config_commands import Assignments, create_branch
from verbena.options import EditOptions


@dataclass(frozen=True, kw_only=True)
class WorkspaceCreate(EditOptions):
    """Create a workspace.

    Example: `verbena workspace create acme rate_per_s=40 burst=20`
    """

    name: Annotated[str, cappa.Arg(help="Name of the workspace.")]
    assignments: Assignments = field(default_factory=list)

    def run(self) -> None:
        """Run the command."""
        create_branch(self, f"/workspaces/{self.name}", self.assignments)


cappa.command(name="create")(WorkspaceCreate)


@dataclass(frozen=True, kw_only=True)
class Workspace:
    """Create workspaces."""

    command: cappa.Subcommands[WorkspaceCreate]


@dataclass(frozen=True, kw_only=True)
class ServiceCreate(EditOptions):
    """Create a service.

    Example: `verbena service create stock host=stock.example deadline_s=5`
    """

    name: Annotated[str, cappa.Arg(help="Name of the service.")]
    assignments: Assignments = field(default_factory=list)

    def run(self) -> None:
        """Run the command."""
        create_branch(self, f"/services/{self.name}", self.assignments)


cappa.command(name="create")(ServiceCreate)


@dataclass(frozen=True, kw_only=True)
class Service:
    """Create services."""

    command: cappa.Subcommands[ServiceCreate]


@dataclass(frozen=True, kw_only=True)
class TargetAdd(EditOptions):
    """Add a backend server to a service.

    Example: `verbena target add stock t1 --address 10.0.0.7:8080
    --region flanders --failure-domain flanders-1 slots=9`
    """

    service: Annotated[str, cappa.Arg(help="Name of the service.")]
    name: Annotated[str, cappa.Arg(help="Name of the target.")]
    address: Annotated[
        str, cappa.Arg(long=True, value_name="IP:PORT", help="Its address.")
    ]
    region: Annotated[str, cappa.Arg(long=True, help="Its region.")]
    failure_domain: Annotated[
        str, cappa.Arg(long=True, help="Its failure domain.")
    ]
    assignments: Assignments = field(default_factory=list)

    def run(self) -> None:
        """Run the command."""
        create_branch(
            self,
            f"/services/{self.service}/targets/{self.name}",
            [
                f"address={self.address}",
                f"region={self.region}",
                f"failure_domain={self.failure_domain}",
                *self.assignments,
            ],
        )


cappa.command(name="add")(TargetAdd)


@dataclass(frozen=True, kw_only=True)
class Target:
    """Add backend servers."""

    command: cappa.Subcommands[TargetAdd]
