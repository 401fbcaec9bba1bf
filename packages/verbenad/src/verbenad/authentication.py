"""Finds the service, the workspace and the limits of a request."""

import re
import secrets
from collections.abc import Callable
from typing import Any

from verbenad.call import Call
from verbenad.forwarded_headers import KEY_HEADER
from verbenad.refusal_error import refusal_error
from verbenad.request_head import RequestHead
from verbenaworks.compiled_config import CompiledConfig, ServiceConfig

SERVICE_PREFIX = "/s/"
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{8,64}")
_MAX_DEADLINE_DIGITS = 9


def request_id_of(head: RequestHead) -> str:
    """Return the caller's request id if it is well formed, else a new one."""
    values = head.values("x-request-id")
    if len(values) == 1 and _REQUEST_ID.fullmatch(values[0]):
        return values[0]
    return secrets.token_hex(8)


def route(
    config: CompiledConfig, head: RequestHead
) -> tuple[ServiceConfig | None, str]:
    """Return the service of a request and the request target sent to it.

    The service is None if the request names no known service.
    """
    if head.target.startswith(SERVICE_PREFIX):
        name, slash, rest = head.target[len(SERVICE_PREFIX) :].partition("/")
        if not slash:
            name, separator, query = name.partition("?")
            rest = separator + query
        return config.services.get(name), f"/{rest}"
    host = head.host.rpartition(":")[0] or head.host
    return config.services_by_host.get(host), head.target


def authenticate(
    config: CompiledConfig,
    environ: dict[str, Any],
    request_id: str,
    may_use_keys: Callable[[], bool],
    now_s: float,
) -> Call:
    """Return the request with its workspace and limits.

    :param may_use_keys: returns whether the configuration is recent enough
        to be sure that no key in it has been withdrawn.
    :raises RefusalError: if the request must not run.
    """
    head: RequestHead = environ["verbena.head"]
    service, target = route(config, head)
    if service is None:
        raise refusal_error("unknown-service", request_id)
    workspace = ""
    if not service.open:
        workspace = _workspace(config, service, head, request_id, may_use_keys)
    policy = config.policy(service.name, workspace or None)
    deadline_s = min(
        policy.deadline_s, _requested_deadline_s(head, request_id)
    )
    length = head.content_length
    if length is not None and length > policy.max_body_bytes:
        raise refusal_error("body-too-large", request_id)
    return Call(
        request_id=request_id,
        service=service,
        workspace=workspace,
        policy=policy,
        head=head,
        target=target,
        body=environ["wsgi.input"],
        caller=environ["verbena.caller"],
        started_s=now_s,
        deadline_s=now_s + deadline_s,
        idempotent=head.method in service.idempotent_methods,
        config_revision=config.config_revision,
    )


def recheck_key(
    call: Call,
    config: CompiledConfig,
    may_use_keys: Callable[[], bool],
) -> None:
    """Check a key again before its request goes to a backend server.

    The request may have waited, or the process may have been paused, for
    longer than a withdrawn key may remain usable.

    :raises RefusalError: if the key may no longer be used.
    """
    if not call.workspace:
        return
    if not may_use_keys():
        raise refusal_error("not-fresh", call.request_id, retry_after_s=1.0)
    if config.config_revision == call.config_revision:
        return
    match = config.keys.find(call.head.values(KEY_HEADER)[0])
    if match is None or match.workspace != call.workspace:
        raise refusal_error("key-unknown", call.request_id)


def _workspace(
    config: CompiledConfig,
    service: ServiceConfig,
    head: RequestHead,
    request_id: str,
    may_use_keys: Callable[[], bool],
) -> str:
    keys = head.values(KEY_HEADER)
    if not keys:
        raise refusal_error("key-missing", request_id)
    if not may_use_keys():
        raise refusal_error("not-fresh", request_id, retry_after_s=1.0)
    # Several keys would leave open for which workspace the request runs.
    match = config.keys.find(keys[0]) if len(keys) == 1 else None
    if match is None:
        raise refusal_error("key-unknown", request_id)
    workspace = config.workspaces[match.workspace]
    if service.name not in workspace.allowed_services:
        raise refusal_error("unknown-service", request_id)
    return workspace.name


def _requested_deadline_s(head: RequestHead, request_id: str) -> float:
    values = head.values("x-request-deadline-ms")
    if not values:
        return float("inf")
    text = values[0]
    if (
        len(values) > 1
        or not text.isascii()
        or not text.isdigit()
        or len(text) > _MAX_DEADLINE_DIGITS
        or int(text) == 0
    ):
        raise refusal_error("malformed-deadline", request_id)
    return int(text) / 1000
