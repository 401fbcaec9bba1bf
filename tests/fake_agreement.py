"""In-memory agreement for tests of the operator interface."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from wsgiref.simple_server import WSGIRequestHandler, make_server

from result import Err, Ok, Result

from verbenad.admin_api import AdminApi
from verbenaworks.admin_messages import InstanceStatus
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Edit
from verbenaworks.errors import EditRefused, OutcomeUnknown

BOOTSTRAP_TOKEN = "bootstrap-token"


class FakeAgreement:
    """Applies edits immediately; edits and answers can be lost.

    :ivar lost: what happens to the next edits: "after" applies the edit and
        loses the answer, "before" loses the edit.
    :ivar in_force_revision: the revision that instances report.
    """

    def __init__(self, document: ConfigDocument | None = None) -> None:
        self._document = document or ConfigDocument()
        self.lost: list[str] = []
        self.lost_edits: list[Edit] = []
        self.in_force_revision: int | None = None

    def document(self) -> ConfigDocument:
        """Return the document."""
        return self._document

    def submit(self, edit: Edit) -> Result[int, EditRefused | OutcomeUnknown]:
        """Apply an edit, or lose it or its answer."""
        loss = self.lost.pop(0) if self.lost else None
        if loss == "before":
            self.lost_edits.append(edit)
            return Err(OutcomeUnknown(edit.edit_id))
        match self._document.apply_edit(edit):
            case Err(refusal):
                return Err(refusal)
            case Ok(document):
                self._document = document
        if loss == "after":
            return Err(OutcomeUnknown(edit.edit_id))
        return Ok(self._document.config_revision)

    def status(self) -> list[InstanceStatus]:
        """Return two instances, one of them dead."""
        revision = self._document.config_revision
        if self.in_force_revision is not None:
            revision = self.in_force_revision
        return [
            self._instance("entry-1", "alive", revision),
            self._instance("entry-2", "dead", 0),
        ]

    def replace_writers(
        self, operator: str
    ) -> Result[tuple[str, ...], EditRefused | OutcomeUnknown]:
        """Return the name of the new writer."""
        return Ok(("entry-1",))

    def _instance(
        self, name: str, state: str, revision: int
    ) -> InstanceStatus:
        return InstanceStatus(
            name=name,
            state=state,
            region="west",
            failure_domain="west-1",
            config_revision=revision,
            fresh=state == "alive",
            age_s=0.5,
            load=3.0,
            writer=state == "alive",
        )


class _QuietHandler(WSGIRequestHandler):
    def log_message(self, *args: object) -> None:
        """Print nothing."""


@contextmanager
def serve(agreement: FakeAgreement) -> Iterator[str]:
    """Serve the operator interface and yield its address."""
    api = AdminApi(agreement, lambda: 1_800_000_000.0, BOOTSTRAP_TOKEN)
    server = make_server(
        "127.0.0.1",
        0,
        api,  # type: ignore[arg-type]
        handler_class=_QuietHandler,
    )
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
