"""Refusals sent to callers, and the table of refusal codes."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType

import msgspec

_PHRASES = {int(status): status.phrase for status in HTTPStatus}


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No byte of the request reached a backend server."""

    text = "not run"


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown:
    """The request may have run."""

    text = "outcome unknown"


RunStatus = NotRun | OutcomeUnknown
NOT_RUN = NotRun()
OUTCOME_UNKNOWN = OutcomeUnknown()


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalKind:
    """Properties shared by all refusals with the same code."""

    status: int
    message: str
    remedy: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """One refusal.

    :param run: whether the request may have run on a backend server.
    :param retry_after_s: seconds after which a retry may succeed.
    """

    status: int
    code: str
    message: str
    remedy: str
    run: RunStatus
    retry_after_s: float | None = None
    request_id: str

    def body(self) -> bytes:
        """Return the JSON object."""
        return msgspec.json.encode(
            {
                "code": self.code,
                "message": self.message,
                "remedy": self.remedy,
                "run": self.run.text,
                "request_id": self.request_id,
            }
        )

    def headers(self, body: bytes) -> list[tuple[str, str]]:
        """Return the header fields that go with ``body``."""
        fields = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Verbena-Run", self.run.text),
            ("X-Request-Id", self.request_id),
        ]
        if self.retry_after_s is not None:
            # The field takes whole seconds; rounding down would invite
            # retries that are too early.
            seconds = max(1, math.ceil(self.retry_after_s))
            fields.append(("Retry-After", str(seconds)))
        return fields

    @property
    def status_line(self) -> str:
        """Return status and reason phrase in WSGI form."""
        return f"{self.status} {_PHRASES.get(self.status, 'Refused')}"


def _kind(status: int, message: str, remedy: str) -> RefusalKind:
    return RefusalKind(status=status, message=message, remedy=remedy)


REFUSAL_KINDS: Mapping[str, RefusalKind] = MappingProxyType(
    {
        # Malformed requests.
        "malformed-request-line": _kind(
            400,
            "the request line is malformed",
            "send METHOD SP target SP HTTP/1.1 and CRLF",
        ),
        "malformed-target": _kind(
            400,
            "the request target is malformed",
            "send a percent-encoded path and query",
        ),
        "malformed-header": _kind(
            400,
            "a header line is malformed",
            "send name, colon, value and CRLF, without folding and without"
            " a space before the colon",
        ),
        "malformed-host": _kind(
            400,
            "the Host header is missing, repeated or malformed",
            "send one Host header",
        ),
        "malformed-length": _kind(
            400,
            "the Content-Length header is repeated or not a plain number",
            "send one Content-Length in decimal digits",
        ),
        "ambiguous-length": _kind(
            400,
            "the request has both Content-Length and Transfer-Encoding",
            "send one of the two",
        ),
        "unknown-transfer-coding": _kind(
            501,
            "the transfer coding is not supported",
            "send Transfer-Encoding: chunked or a Content-Length",
        ),
        "malformed-chunk": _kind(
            400,
            "the chunked body is malformed",
            "send chunks as RFC 9112 section 7.1 requires",
        ),
        "chunks-too-small": _kind(
            400,
            "the framing of the chunks is far longer than the body",
            "send larger chunks, or shorter chunk extensions",
        ),
        "body-too-short": _kind(
            400,
            "the body ended before its stated end",
            "send the whole body",
        ),
        "body-too-large": _kind(
            413,
            "the body is over the limit",
            "send a smaller body",
        ),
        "target-too-long": _kind(
            414,
            "the request line is too long",
            "send a shorter path and query",
        ),
        "headers-too-large": _kind(
            431,
            "the headers are too long or too many",
            "send fewer and shorter headers",
        ),
        "request-too-slow": _kind(
            408,
            "the request arrived too slowly",
            "send the request without long pauses",
        ),
        "unsupported-version": _kind(
            505,
            "the HTTP version is not supported",
            "use HTTP/1.1",
        ),
        "unsupported-expectation": _kind(
            417,
            "the Expect header is not supported",
            "send Expect: 100-continue or none",
        ),
        "connect-not-supported": _kind(
            501,
            "CONNECT is not supported",
            "send the request itself",
        ),
        "upgrade-not-supported": _kind(
            501,
            "protocol upgrades are not supported",
            "send the request without Upgrade",
        ),
        # Admission.
        "too-many-connections": _kind(
            503,
            "this entry instance has no connection left",
            "use another entry instance from the lookup answer",
        ),
        "memory-full": _kind(
            503,
            "the entry instance holds too many bytes of other requests",
            "retry later, or use another entry instance from the lookup"
            " answer",
        ),
        "malformed-deadline": _kind(
            400,
            "X-Request-Deadline-Ms is not a positive whole number",
            "send the remaining time in milliseconds",
        ),
        "malformed-idempotency-key": _kind(
            400,
            "the Idempotency-Key is malformed",
            "send one key of at most 200 visible characters",
        ),
        "unknown-service": _kind(
            404,
            "no service has this name",
            "check the Host header or the /s/<service>/ prefix",
        ),
        "unknown-path": _kind(
            404,
            "the entry instance has no such page",
            "see docs/callers.md for its paths",
        ),
        "malformed-address": _kind(
            400,
            "the address is not an IP address",
            "send the caller's IPv4 or IPv6 address",
        ),
        "unknown-address": _kind(
            404,
            "no client block holds the address",
            "ask the operators to add the block",
        ),
        "key-missing": _kind(
            401,
            "the request carries no key",
            "send the workspace's key in X-Verbena-Key",
        ),
        "key-unknown": _kind(
            401,
            "the key is not valid",
            "check the key, or ask the operators for a new one",
        ),
        "key-misplaced": _kind(
            400,
            "the path contains the key",
            "send the key only in X-Verbena-Key",
        ),
        "unsendable-name": _kind(
            503,
            "the workspace's name cannot be sent to backend servers",
            "ask the operators to rename the workspace",
        ),
        "rate-exceeded": _kind(
            429,
            "the workspace is over its rate",
            "send fewer requests, or retry later",
        ),
        "overloaded": _kind(
            503,
            "no backend server has room within the deadline",
            "retry later, or with a longer deadline",
        ),
        "no-backend-server": _kind(
            503,
            "no backend server is available",
            "retry later",
        ),
        "region-full": _kind(
            503,
            "the region has no headroom left",
            "retry later",
        ),
        "not-fresh": _kind(
            503,
            "the entry instance cannot confirm its configuration",
            "use another entry instance from the lookup answer",
        ),
        "leaving": _kind(
            503,
            "the entry instance is shutting down",
            "use another entry instance from the lookup answer",
        ),
        "crash-suspect": _kind(
            403,
            "this request crashed backend servers",
            "do not send it again; report it to the operators",
        ),
        "crash-pause": _kind(
            503,
            "this request crashed backend servers and is held back",
            "change the request, or report it to the operators",
        ),
        "suspect-busy": _kind(
            503,
            "another suspect request is running",
            "retry later",
        ),
        "run-window-full": _kind(
            503,
            "no claim is left for idempotency keys without a ticket",
            "use a ticket from the lookup answer, or retry later",
        ),
        "still-running": _kind(
            409,
            "an earlier attempt with this key is still running",
            "retry later with the same key",
        ),
        "outcome-unknown": _kind(
            409,
            "an earlier attempt with this key may have run",
            "check the outcome before sending a new key",
        ),
        # Attempts.
        "deadline-exceeded": _kind(
            504,
            "the deadline passed",
            "retry with a longer deadline",
        ),
        "link-full": _kind(
            503,
            "the link to the backend server's region had no room in time",
            "retry later, or with a longer deadline",
        ),
        "connect-failed": _kind(
            502,
            "no connection to the backend server",
            "retry later",
        ),
        "backend-refused": _kind(
            503,
            "the backend server refused the request without running it",
            "retry later",
        ),
        "backend-misdirected": _kind(
            503,
            "another backend server has the address now",
            "retry later",
        ),
        "backend-closed": _kind(
            502,
            "the backend server closed the connection before its answer",
            "check the outcome before sending the request again",
        ),
        "backend-silent": _kind(
            504,
            "the backend server sent no answer",
            "check the outcome before sending the request again",
        ),
        "malformed-answer": _kind(
            502,
            "the backend server's answer is malformed",
            "report it to the operators",
        ),
        "answer-truncated": _kind(
            502,
            "the backend server's answer ended early",
            "check the outcome before sending the request again",
        ),
        "caller-gone": _kind(
            499,
            "the caller closed its connection",
            "keep the connection open until the answer",
        ),
        "internal-error": _kind(
            500,
            "the entry instance failed on this request",
            "report the request id to the operators",
        ),
    }
)


def make_refusal(
    code: str,
    *,
    run: RunStatus,
    request_id: str,
    message: str | None = None,
    retry_after_s: float | None = None,
) -> Refusal:
    """Return the refusal with ``code``.

    :raises KeyError: if the code is not declared in ``REFUSAL_KINDS``.
    """
    kind = REFUSAL_KINDS[code]
    return Refusal(
        status=kind.status,
        code=code,
        message=message or kind.message,
        remedy=kind.remedy,
        run=run,
        retry_after_s=retry_after_s,
        request_id=request_id,
    )
