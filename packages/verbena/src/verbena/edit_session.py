"""Sends edits and prints their outcome."""

import secrets
import time
from collections.abc import Sequence
from typing import Any

import msgspec

from verbena.admin_client import AdminClient
from verbena.cli_errors import NotEverywhere
from verbena.console_output import print_json
from verbena.options import EditOptions
from verbenaworks.admin_messages import EditAccepted
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Change, Edit
from verbenaworks.errors import VerbenaError

_POLL_INTERVAL_S = 0.2
# A leaving instance still serves requests, so it counts as live.
LIVE_STATES = ("alive", "suspect", "leaving")


class EditSession:
    """Reads the configuration once and sends edits based on it.

    :ivar document: the configuration that was read.
    """

    def __init__(self, options: EditOptions) -> None:
        self._options = options
        self._client = options.client()
        self.document: ConfigDocument = self._client.get_config()

    def new_edit_id(self) -> str:
        """Return a new unique edit id.

        It begins with the revision that was read, from which verbena settle
        can tell whether the history reaches back far enough.
        """
        return f"{self.document.config_revision}-{secrets.token_hex(8)}"

    def submit(
        self,
        changes: Sequence[Change],
        expected_revision: int | None = None,
        edit_id: str | None = None,
    ) -> EditAccepted:
        """Send an edit and return its acceptance."""
        edit = Edit(
            edit_id=edit_id or self._options.edit_id or self.new_edit_id(),
            operator="",
            read_revision=self.document.config_revision,
            expected_revision=expected_revision,
            changes=tuple(changes),
        )
        return self._client.submit(edit, self._options.dry_run)

    def run(
        self,
        changes: Sequence[Change],
        message: str,
        notes: Sequence[str] = (),
        **details: Any,
    ) -> None:
        """Send an edit, print the outcome and wait if ``--wait`` is set.

        :param message: describes the accepted edit in the text output.
        :param notes: additional lines of the text output.
        :param details: additional members of the JSON output.
        """
        accepted = self.submit(changes, self._options.expected_revision)
        self.report(accepted, message, notes, **details)

    def report(
        self,
        accepted: EditAccepted,
        message: str,
        notes: Sequence[str] = (),
        **details: Any,
    ) -> None:
        """Print an accepted edit and wait if ``--wait`` is set."""
        if accepted.dry_run:
            self._report_dry_run(accepted)
        elif self._options.json:
            self._report_json(accepted, details)
        else:
            # Printed before the wait, so that the outcome is shown even if
            # the wait is interrupted.
            print(f"{message} (revision {accepted.config_revision})")
            for note in notes:
                print(note)
            if self._options.wait:
                self._wait_until_in_force(accepted.config_revision)
                print(
                    f"revision {accepted.config_revision} is in force on "
                    "every live instance"
                )

    def _report_dry_run(self, accepted: EditAccepted) -> None:
        if self._options.json:
            print_json(msgspec.to_builtins(accepted))
        else:
            print(
                f"dry run: would be accepted at revision "
                f"{accepted.config_revision}; nothing was changed"
            )

    def _report_json(
        self, accepted: EditAccepted, details: dict[str, Any]
    ) -> None:
        body = {**msgspec.to_builtins(accepted), **details}
        if self._options.wait:
            body["in_force"] = False
        try:
            if self._options.wait:
                self._wait_until_in_force(accepted.config_revision)
                body["in_force"] = True
        finally:
            print_json(body)

    def _wait_until_in_force(self, revision: int) -> None:
        wait_until_in_force(self._client, revision, self._options.timeout_s)


def read_revision_of(edit_id: str) -> int:
    """Return the revision that an edit is based on, as its id states it.

    It is 0, the oldest revision, if the id does not begin with a number.
    """
    text = edit_id.partition("-")[0]
    return int(text) if text.isascii() and text.isdigit() else 0


def wait_until_in_force(
    client: AdminClient, revision: int, timeout_s: float
) -> None:
    """Return when every live instance has the revision in force.

    :raises NotEverywhere: if that takes longer than ``timeout_s``.
    """
    end_s = time.monotonic() + timeout_s
    while True:
        lagging = _lagging_instances(client, revision)
        if not lagging:
            return
        if time.monotonic() >= end_s:
            raise NotEverywhere(
                f"revision {revision} is accepted, but not in force on "
                + ", ".join(lagging),
                "see the instances with: verbena status",
            )
        time.sleep(_POLL_INTERVAL_S)


def _lagging_instances(client: AdminClient, revision: int) -> list[str]:
    try:
        instances = client.get_status()
    except VerbenaError as error:
        # The edit was accepted, so a failed status request must not end
        # the wait.
        return [f"any instance that answers ({error.message})"]
    return [
        instance.name
        for instance in instances
        if instance.state in LIVE_STATES
        and instance.config_revision < revision
    ]
