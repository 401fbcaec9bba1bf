"""Client of the operator port of entry instances."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import NoReturn

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
)

from verbena.cli_errors import NoInstanceReachable, ReplaceOutcomeUnknown
from verbenaworks.admin_messages import (
    CONFIG_PATH,
    EDITS_PATH,
    STATUS_PATH,
    WRITERS_PATH,
    Answer,
    EditAccepted,
    EditNotFound,
    EditOutcomeUnknown,
    EditRefusedBody,
    InstanceStatus,
    RequestRefused,
    WritersReplaced,
    answer_from_json,
    status_from_json,
    to_json,
)
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Edit
from verbenaworks.errors import EditRefused, OutcomeUnknown, WireError

_NOT_SENT = (NewConnectionError, ConnectTimeoutError, LocationValueError)
_CONNECT_LIMIT_S = 2.0
# Longer than an instance waits for a writer and the store.
_ANSWER_LIMIT_S = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Response:
    status: int
    body: bytes


@dataclass(kw_only=True, slots=True)
class _Tries:
    """Failures so far.

    :ivar maybe_sent: whether an instance may have received the request.
    """

    failures: list[str] = field(default_factory=list)
    maybe_sent: bool = False

    def note(self, instance: str, error: Exception) -> None:
        self.failures.append(f"{instance}: {error}")
        if not isinstance(error, _NOT_SENT):
            self.maybe_sent = True


class AdminClient:
    """Sends requests to the first instance that answers.

    :param instances: ``host:port`` of operator ports, tried in turn.
    :param token: the operator's token.
    """

    def __init__(self, instances: Sequence[str], token: str) -> None:
        self._instances = instances
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_LIMIT_S, read=_ANSWER_LIMIT_S
            ),
        )

    def config(self) -> ConfigDocument:
        """Return the configuration in force on an instance."""
        return ConfigDocument.from_bytes(self._get(CONFIG_PATH))

    def status(self) -> list[InstanceStatus]:
        """Return what an instance knows of all instances."""
        return status_from_json(self._get(STATUS_PATH))

    def find(self, edit_id: str) -> EditAccepted | EditNotFound:
        """Return whether an instance knows an edit."""
        answer = answer_from_json(self._get(f"{EDITS_PATH}/{edit_id}"))
        match answer:
            case EditAccepted() | EditNotFound():
                return answer
            case _:
                return _unexpected(answer)

    def submit(self, edit: Edit, dry_run: bool = False) -> EditAccepted:
        """Send an edit until an instance gives a conclusive answer.

        The edit id makes it safe to send the edit to the next instance when
        an answer is lost. A refusal after a lost answer is not conclusive:
        the first instance may have another revision and may still apply the
        edit.

        :raises EditRefused: if it was refused.
        :raises OutcomeUnknown: if it may or may not have been applied.
        """
        path = EDITS_PATH + ("?dry_run=1" if dry_run else "")
        tries = _Tries()
        for answer in self._post(path, to_json(edit), tries):
            match answer:
                case EditAccepted():
                    return answer
                case EditOutcomeUnknown():
                    tries.maybe_sent = True
                case _ if tries.maybe_sent and not dry_run:
                    raise OutcomeUnknown(edit.edit_id)
                case _:
                    _unexpected(answer)
        if tries.maybe_sent and not dry_run:
            raise OutcomeUnknown(edit.edit_id)
        raise _unreachable(tries)

    def replace_writers(self) -> WritersReplaced:
        """Replace the writers; sent to one instance only.

        :raises ReplaceOutcomeUnknown: if the answer was lost.
        """
        tries = _Tries()
        for answer in self._post(WRITERS_PATH, b"", tries):
            match answer:
                case WritersReplaced():
                    return answer
                case EditOutcomeUnknown():
                    break
                case _:
                    _unexpected(answer)
        if not tries.failures or tries.maybe_sent:
            raise ReplaceOutcomeUnknown(
                "it is not known whether the writers were replaced",
                "see the writers with: verbena status",
            )
        raise _unreachable(tries)

    def _get(self, path: str) -> bytes:
        tries = _Tries()
        for instance in self._instances:
            try:
                response = self._send(instance, "GET", path, None)
            except HTTPError as error:
                tries.note(instance, error)
                continue
            if response.status in (200, 404):
                return response.body
            if response.status < 500:
                _unexpected(answer_from_json(response.body))
            tries.failures.append(f"{instance}: status {response.status}")
        raise _unreachable(tries)

    def _post(self, path: str, body: bytes, tries: _Tries) -> Iterator[Answer]:
        for instance in self._instances:
            try:
                response = self._send(instance, "POST", path, body)
                yield answer_from_json(response.body)
            except (HTTPError, WireError) as error:
                tries.note(instance, error)
                if path == WRITERS_PATH and tries.maybe_sent:
                    return

    def _send(
        self, instance: str, method: str, path: str, body: bytes | None
    ) -> _Response:
        response = self._pool.request(
            method,
            f"http://{instance}{path}",
            body=body,
            headers=self._headers,
            redirect=False,
        )
        return _Response(status=response.status, body=response.data)


def _unexpected(answer: Answer) -> NoReturn:
    match answer:
        case EditRefusedBody() | RequestRefused():
            raise EditRefused(answer.code, answer.message, answer.remedy)
        case _:
            raise WireError(
                f"unexpected answer {type(answer).__name__}",
                "check that verbena and verbenad have compatible versions",
            )


def _unreachable(tries: _Tries) -> NoInstanceReachable:
    details = "; ".join(tries.failures) or "none is named"
    return NoInstanceReachable(
        f"no instance could be reached ({details})",
        "name instances with --instance HOST:PORT or VERBENA_INSTANCES",
    )
