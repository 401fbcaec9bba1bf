"""Names of the headers used between an instance and backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FieldNames:
    """Names of the headers that the instance writes or reads.

    The defaults are the project's own interface. An interface does not have
    the headers whose name is None.

    :param deadline_ms: time left, in milliseconds.
    :param not_run: the value 1 means that the request did not run.
    :param key: the caller's key, which must not reach a backend server.
    :param key_parameter: query parameter that may carry the key.
    :param expected_server: identity that the backend server must have.
    :param workspace: workspace of the request.
    :param seal: header that is present on every response that a backend
        server generated itself.
    :param echoes_request_id: whether responses carry the request id, so that
        a response to another request is recognized.
    :param load: running requests, waiting requests and slots of the backend
        server.
    :param limit: requests per second that the backend server takes from all
        instances together.
    :param leaving: the value 1 means that the backend server is leaving.
    :param adds_via: whether the instance adds a Via header.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Request-Deadline-Ms"
    not_run: str = "X-Not-Run"
    key: str = "X-Verbena-Key"
    key_parameter: str | None = "verbena_key"
    expected_server: str | None = None
    workspace: str | None = None
    seal: str | None = None
    echoes_request_id: bool = False
    load: str | None = None
    limit: str | None = None
    leaving: str | None = None
    adds_via: bool = True

    @property
    def reserved_names(self) -> frozenset[str]:
        """Return lower-case names that callers' headers must not set."""
        names = (
            self.request_id,
            self.deadline_ms,
            self.key,
            self.expected_server,
            self.workspace,
        )
        return frozenset(name.lower() for name in names if name)


OWN_FIELDS = FieldNames()
