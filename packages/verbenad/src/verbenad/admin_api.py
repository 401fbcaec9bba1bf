"""Admin API of an instance, as a WSGI application."""

import hmac
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs

import logbook
import msgspec
from result import Err, Ok, Result

from verbenad.agreement_port import AgreementPort
from verbenaworks.admin_messages import (
    CONFIG_PATH,
    EDITS_PATH,
    MAX_REQUEST_BYTES,
    REVISION_HEADER,
    STATUS_PATH,
    WRITERS_PATH,
    AdminRequestError,
    Answer,
    EditAccepted,
    EditNotFound,
    EditOutcomeUnknown,
    EditRefusedBody,
    RequestRefused,
    WritersReplaced,
    edit_from_json,
    to_json,
)
from verbenaworks.config_document import ConfigDocument
from verbenaworks.edit import Change, Edit, SetValue
from verbenaworks.errors import EditRefused, OutcomeUnknown, WireError
from verbenaworks.key_digest import key_id_of, verify

BOOTSTRAP_OPERATOR = "bootstrap"
TOKEN_PREFIX = "vt"
_DIGEST_FIELDS = ("digest", "token_digest")
_JSON = "application/json"
_audit = logbook.Logger("audit")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """An authenticated operator."""

    name: str
    role: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    status: str
    body: bytes
    content_type: str = _JSON
    headers: tuple[tuple[str, str], ...] = ()


class AdminApi:
    """Handles operators' requests.

    :param port: access to the agreed state.
    :param now_unix_s: wall clock; used only as the date shown with an edit.
    :param bootstrap_token: token that is accepted while no operator exists.
    """

    def __init__(
        self,
        port: AgreementPort,
        now_unix_s: Callable[[], float],
        bootstrap_token: str | None = None,
    ) -> None:
        self._port = port
        self._now_unix_s = now_unix_s
        self._bootstrap_token = bootstrap_token

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        reply = self._reply(environ)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            ("Cache-Control", "no-store"),
            *reply.headers,
        ]
        start_response(reply.status, headers)
        return [reply.body]

    def _reply(self, environ: dict[str, Any]) -> _Reply:
        try:
            return self._route(environ)
        except AdminRequestError as error:
            body = RequestRefused(
                code=error.code, message=error.message, remedy=error.remedy
            )
            return _Reply(status=error.status, body=to_json(body))

    def _route(self, environ: dict[str, Any]) -> _Reply:
        operator = self._authenticate(environ)
        path = environ.get("PATH_INFO", "")
        match environ["REQUEST_METHOD"], path:
            case "GET", _ if path == CONFIG_PATH:
                return self._config()
            case "GET", _ if path == STATUS_PATH:
                body = to_json(self._port.status())
                return _Reply(status="200 OK", body=body)
            case "GET", _ if path.startswith(EDITS_PATH + "/"):
                return self._find(path[len(EDITS_PATH) + 1 :])
            case "POST", _ if path == EDITS_PATH:
                _require_write(operator)
                return self._edit(environ, operator)
            case "POST", _ if path == WRITERS_PATH:
                _require_write(operator)
                return self._replace_writers(operator)
        raise AdminRequestError(
            "404 Not Found",
            "unknown-request",
            f"{environ['REQUEST_METHOD']} {path} is not known here",
            "check that verbena and verbenad have compatible versions",
        )

    def _authenticate(self, environ: dict[str, Any]) -> Operator:
        header = environ.get("HTTP_AUTHORIZATION", "")
        scheme, _, token = header.partition(" ")
        operator = None
        if scheme.lower() == "bearer":
            operator = self._operator_of(token.strip())
        if operator is None:
            raise AdminRequestError(
                "401 Unauthorized",
                "unauthorized",
                "the operator token is missing or not valid",
                "set VERBENA_TOKEN to the token that verbena operator create "
                "printed",
            )
        return operator

    def _operator_of(self, token: str) -> Operator | None:
        tree = self._port.document().tree
        if not tree.names("/operators"):
            return self._bootstrap_operator(token)
        name = key_id_of(token, TOKEN_PREFIX)
        path = f"/operators/{name}"
        digest = tree.own_values(path).get("token_digest")
        if not verify(token, str(digest) if digest else None):
            return None
        return Operator(name=name, role=tree.value(path, "role"))

    def _bootstrap_operator(self, token: str) -> Operator | None:
        expected = self._bootstrap_token
        if not expected or not hmac.compare_digest(
            token.encode("utf-8", "replace"), expected.encode()
        ):
            return None
        return Operator(name=BOOTSTRAP_OPERATOR, role="write")

    def _config(self) -> _Reply:
        document = self._port.document()
        return _Reply(
            status="200 OK",
            body=document.to_bytes(),
            content_type="application/msgpack",
            headers=((REVISION_HEADER, str(document.config_revision)),),
        )

    def _find(self, edit_id: str) -> _Reply:
        document = self._port.document()
        accepted = document.find_edit(edit_id)
        if accepted is None:
            missing = EditNotFound(
                edit_id=edit_id, config_revision=document.config_revision
            )
            return _Reply(status="404 Not Found", body=to_json(missing))
        found = EditAccepted(
            config_revision=accepted.config_revision,
            cancelled=not accepted.edit.changes,
        )
        return _Reply(status="200 OK", body=to_json(found))

    def _edit(self, environ: dict[str, Any], operator: Operator) -> _Reply:
        edit = replace(
            _read_edit(environ),
            operator=operator.name,
            sent_at_s=self._now_unix_s(),
        )
        query = parse_qs(environ.get("QUERY_STRING", ""))
        dry_run = query.get("dry_run") == ["1"]
        outcome = self._dry_run(edit) if dry_run else self._port.submit(edit)
        answer = _answer(edit, outcome, self._port.document(), dry_run)
        _audit.info("edit", extra=_audit_fields(edit, answer))
        return _answer_reply(answer)

    def _dry_run(
        self, edit: Edit
    ) -> Result[int, EditRefused | OutcomeUnknown]:
        match self._port.document().apply_edit(edit):
            case Ok(document):
                return Ok(document.config_revision)
            case Err(refusal):
                return Err(refusal)

    def _replace_writers(self, operator: Operator) -> _Reply:
        outcome = self._port.replace_writers(operator.name)
        answer: Answer
        match outcome:
            case Ok(writers):
                answer = WritersReplaced(writers=writers)
            case Err(error):
                answer = _error_answer(error, self._port.document())
        _audit.info(
            "writers replaced",
            extra={
                "operator": operator.name,
                "answer": msgspec.to_builtins(answer),
            },
        )
        return _answer_reply(answer)


def _require_write(operator: Operator) -> None:
    if operator.role != "write":
        raise AdminRequestError(
            "403 Forbidden",
            "forbidden",
            f"operator {operator.name} has the role {operator.role}",
            "ask an operator with the role write",
        )


def _read_edit(environ: dict[str, Any]) -> Edit:
    text = environ.get("CONTENT_LENGTH") or ""
    if not text.isascii() or not text.isdigit():
        raise AdminRequestError(
            "411 Length Required",
            "length-required",
            "the request has no valid Content-Length",
            "send the edit with a Content-Length",
        )
    if len(text) > 12 or int(text) > MAX_REQUEST_BYTES:
        raise AdminRequestError(
            "413 Content Too Large",
            "edit-too-large",
            f"the edit has more than {MAX_REQUEST_BYTES} bytes",
            "split it into several edits",
        )
    try:
        return edit_from_json(environ["wsgi.input"].read(int(text)))
    except WireError as error:
        raise AdminRequestError(
            "400 Bad Request", error.code, error.message, error.remedy
        ) from error


def _answer(
    edit: Edit,
    outcome: Result[int, EditRefused | OutcomeUnknown],
    document: ConfigDocument,
    dry_run: bool,
) -> Answer:
    match outcome:
        case Ok(revision):
            known = document.find_edit(edit.edit_id)
            if known is not None:
                revision = known.config_revision
            return EditAccepted(config_revision=revision, dry_run=dry_run)
        case Err(error):
            return _error_answer(error, document)


def _error_answer(
    error: EditRefused | OutcomeUnknown, document: ConfigDocument
) -> Answer:
    match error:
        case OutcomeUnknown():
            return EditOutcomeUnknown(edit_id=error.edit_id)
        case _:
            return EditRefusedBody(
                code=error.code,
                message=error.message,
                remedy=error.remedy,
                config_revision=document.config_revision,
            )


def _answer_reply(answer: Answer) -> _Reply:
    match answer:
        case EditAccepted() | WritersReplaced():
            status = "200 OK"
        case EditOutcomeUnknown():
            status = "503 Service Unavailable"
        case _:
            status = "409 Conflict"
    return _Reply(status=status, body=to_json(answer))


def _audit_fields(edit: Edit, answer: Answer) -> dict[str, Any]:
    return {
        "edit_id": edit.edit_id,
        "operator": edit.operator,
        "sent_at_s": edit.sent_at_s,
        "changes": [_audit_change(change) for change in edit.changes],
        "answer": msgspec.to_builtins(answer),
    }


def _audit_change(change: Change) -> Any:
    match change:
        case SetValue(field=field) if field in _DIGEST_FIELDS:
            return msgspec.to_builtins(
                msgspec.structs.replace(change, value="(digest)")
            )
        case _:
            return msgspec.to_builtins(change)
