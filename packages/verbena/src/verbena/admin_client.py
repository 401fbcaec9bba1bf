"""HTTP client of the operator port of entry instances."""

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

# Errors that occur before any part of the request is sent.
_NOT_SENT_ERRORS = (
    NewConnectionError,
    ConnectTimeoutError,
    LocationValueError,
)
_CONNECT_TIMEOUT_S = 2.0
# Exceeds the time that an instance waits for a writer and the store.
_RESPONSE_TIMEOUT_S = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Response:
    status: int
    body: bytes


@dataclass(kw_only=True, slots=True)
class _Attempts:
    """Failed attempts to send one request.

    :ivar failures: instance and error of each failed attempt.
    :ivar maybe_sent: whether an instance may have received the request.
    """

    failures: list[str] = field(default_factory=list)
    maybe_sent: bool = False

    def record_failure(self, instance: str, error: Exception) -> None:
        self.failures.append(f"{instance}: {error}")
        if not isinstance(error, _NOT_SENT_ERRORS):
            self.maybe_sent = True


class AdminClient:
    """Sends requests to the first instance that responds.

    :param instances: ``host:port`` of operator ports, tried in turn.
    :param token: the operator's token.
    """

    def __init__(self, instances: Sequence[str], token: str) -> None:
        self._instances = instances
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_S, read=_RESPONSE_TIMEOUT_S
            ),
        )

    def get_config(self) -> ConfigDocument:
        """Return the current configuration of an instance."""
        return ConfigDocument.from_bytes(self._get(CONFIG_PATH))

    def get_status(self) -> list[InstanceStatus]:
        """Return the status of all instances, as known to one of them."""
        return status_from_json(self._get(STATUS_PATH))

    def find_edit(self, edit_id: str) -> EditAccepted | EditNotFound:
        """Return whether an instance has an accepted edit with this id."""
        answer = answer_from_json(self._get(f"{EDITS_PATH}/{edit_id}"))
        match answer:
            case EditAccepted() | EditNotFound():
                return answer
            case _:
                return _raise_unexpected(answer)

    def submit(self, edit: Edit, dry_run: bool = False) -> EditAccepted:
        """Send an edit until an instance gives a conclusive response.

        The edit id makes it safe to send the edit to the next instance when
        a response is lost. A refusal after a lost response is not
        conclusive: the first instance may have another revision and may
        still apply the edit.

        :raises EditRefused: if it was refused.
        :raises OutcomeUnknown: if it may or may not have been applied.
        """
        path = EDITS_PATH + ("?dry_run=1" if dry_run else "")
        attempts = _Attempts()
        for answer in self._post(path, to_json(edit), attempts):
            match answer:
                case EditAccepted():
                    return answer
                case EditOutcomeUnknown():
                    attempts.maybe_sent = True
                case _ if attempts.maybe_sent and not dry_run:
                    raise OutcomeUnknown(edit.edit_id)
                case _:
                    _raise_unexpected(answer)
        if attempts.maybe_sent and not dry_run:
            raise OutcomeUnknown(edit.edit_id)
        raise _unreachable_error(attempts)

    def replace_writers(self) -> WritersReplaced:
        """Replace the writers.

        Once an instance may have received the request, it is not sent to
        another one.

        :raises ReplaceOutcomeUnknown: if the response was lost.
        """
        attempts = _Attempts()
        for answer in self._post(WRITERS_PATH, b"", attempts):
            match answer:
                case WritersReplaced():
                    return answer
                case EditOutcomeUnknown():
                    break
                case _:
                    _raise_unexpected(answer)
        if not attempts.failures or attempts.maybe_sent:
            raise ReplaceOutcomeUnknown(
                "it is not known whether the writers were replaced",
                "see the writers with: verbena status",
            )
        raise _unreachable_error(attempts)

    def _get(self, path: str) -> bytes:
        attempts = _Attempts()
        for instance in self._instances:
            try:
                response = self._send(instance, "GET", path, None)
            except HTTPError as error:
                attempts.record_failure(instance, error)
                continue
            if response.status in (200, 404):
                return response.body
            if response.status < 500:
                _raise_unexpected(answer_from_json(response.body))
            attempts.failures.append(f"{instance}: status {response.status}")
        raise _unreachable_error(attempts)

    def _post(
        self, path: str, body: bytes, attempts: _Attempts
    ) -> Iterator[Answer]:
        for instance in self._instances:
            try:
                response = self._send(instance, "POST", path, body)
                yield answer_from_json(response.body)
            except (HTTPError, WireError) as error:
                attempts.record_failure(instance, error)
                if path == WRITERS_PATH and attempts.maybe_sent:
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


def _raise_unexpected(answer: Answer) -> NoReturn:
    match answer:
        case EditRefusedBody() | RequestRefused():
            raise EditRefused(answer.code, answer.message, answer.remedy)
        case _:
            raise WireError(
                f"unexpected answer {type(answer).__name__}",
                "check that verbena and verbenad have compatible versions",
            )


def _unreachable_error(attempts: _Attempts) -> NoInstanceReachable:
    details = "; ".join(attempts.failures) or "none is named"
    return NoInstanceReachable(
        f"no instance could be reached ({details})",
        "name instances with --instance HOST:PORT or VERBENA_INSTANCES",
    )
