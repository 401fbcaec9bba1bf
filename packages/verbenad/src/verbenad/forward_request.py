"""The forwarder's input."""

from collections.abc import Callable
from dataclasses import dataclass

from verbenad.body_charge import BodyCharge
from verbenad.cancellation import Cancellation
from verbenad.http_syntax import Headers
from verbenad.request_body import RequestBody


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardRequest:
    """A request to forward to a backend server.

    :param target: path and query in origin form.
    :param host: value of the Host header for the backend server.
    :param headers: the caller's headers. The forwarder removes those that
        the backend server must not get, above all the key.
    :param body: bytes, a body to stream, or None.
    :param idempotent: whether the request may be sent twice.
    :param cancellation: closes the connection to the backend server.
    :param link: charges the bodies if they pass between regions.
    :param server_id: identity that the backend server must have.
    :param workspace: workspace to send to the backend server.
    :param work_until_s: monotonic time at which the backend server should
        stop working on the request; None for the attempt's deadline.
    :param permitted_until_s: monotonic time after which no byte of the request
        may be sent; None if there is no such time.
    :param on_traffic: called with the bytes sent and received when the
        connection is no longer in use.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: RequestBody | bytes | None = None
    idempotent: bool
    cancellation: Cancellation | None = None
    link: BodyCharge | None = None
    server_id: str = ""
    workspace: str = ""
    work_until_s: float | None = None
    permitted_until_s: float | None = None
    on_traffic: Callable[[int, int], None] | None = None
