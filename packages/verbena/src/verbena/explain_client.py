"""HTTP client of the explanations on an instance's metrics address."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from verbena.cli_errors import NoInstanceReachable
from verbenaworks.errors import EditRefused, WireError

_EXPLAIN_PATH = "/explain"
_TIMEOUT_S = 5.0


def get_explanation(instance: str, query: Mapping[str, str]) -> dict[str, Any]:
    """Return an instance's explanation of a request.

    :param instance: ``host:port`` of its metrics address.
    :param query: fields of the query.
    :raises NoInstanceReachable: if the instance does not respond.
    :raises EditRefused: if it can not explain the request.
    :raises WireError: if the response is no explanation.
    """
    try:
        response = urllib3.PoolManager(retries=False).request(
            "GET",
            f"http://{instance}{_EXPLAIN_PATH}?{urlencode(query)}",
            timeout=_TIMEOUT_S,
            redirect=False,
        )
    except HTTPError as error:
        raise NoInstanceReachable(
            f"{instance} could not be reached ({error})",
            "give the metrics address of a running instance with --metrics",
        ) from error
    try:
        answer: dict[str, Any] = msgspec.json.decode(
            response.data, type=dict[str, Any]
        )
    except msgspec.DecodeError as error:
        raise _no_explanation(instance, response.status) from error
    if response.status == 200 and "decision" in answer:
        return answer
    refused = answer.get("error")
    if not isinstance(refused, dict):
        raise _no_explanation(instance, response.status)
    raise EditRefused(
        str(refused.get("code")),
        str(refused.get("message")),
        str(refused.get("remedy")),
    )


def _no_explanation(instance: str, status: int) -> WireError:
    return WireError(
        f"{instance} answered with status {status} and no explanation",
        "give the metrics address of an instance that serves explanations",
    )
