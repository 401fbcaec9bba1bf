"""The access to the agreed state that the admin API needs."""

from typing import Protocol

from result import Result

from verbenaworks.admin_messages import InstanceStatus
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Edit
from verbenaworks.errors import EditRefused, OutcomeUnknown


class AgreementPort(Protocol):
    """The agreed state as operators see it."""

    def document(self) -> ConfigDocument:
        """Return the newest document that the instance has applied."""

    def submit(self, edit: Edit) -> Result[int, EditRefused | OutcomeUnknown]:
        """Have a writer apply an edit; return the revision it created."""

    def status(self) -> list[InstanceStatus]:
        """Return all instances that the membership knows."""

    def replace_writers(
        self, operator: str
    ) -> Result[tuple[str, ...], EditRefused | OutcomeUnknown]:
        """Replace the writers, which the operator has confirmed to be dead.

        :returns: the names of the new writers.
        """
