"""Names of the header fields between an instance and backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class FieldNames:
    """Names of the fields that the instance writes or reads.

    The defaults are the project's own interface. Fields that are none do not
    exist in the interface.

    :param deadline_ms: time left, in milliseconds.
    :param not_run: with the value 1, the request did not run.
    :param key: the caller's key, which no backend server may see.
    :param key_parameter: query parameter that may carry the key.
    :param expected_server: identity that the server must have.
    :param workspace: workspace of the request.
    :param seal: present on every answer that a server made itself.
    :param echoes_request_id: whether answers carry the request id, so that
        an answer to another request can be told.
    :param load: running and waiting requests and slots of the server.
    :param adds_via: whether the instance adds a Via field.
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
    adds_via: bool = True

    @property
    def reserved_names(self) -> frozenset[str]:
        """Lower-case names that the instance writes or withholds itself."""
        names = (
            self.request_id,
            self.deadline_ms,
            self.key,
            self.expected_server,
            self.workspace,
        )
        return frozenset(name.lower() for name in names if name)


OWN_FIELDS = FieldNames()
