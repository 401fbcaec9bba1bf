"""State of a backend server as of its last report."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One incarnation of a backend server.

    :param server_id: identity that the server checks on each request.
    :param address: IP address and port.
    :param region: region of the failure domain.
    :param slots: requests that it can run at the same time.
    :param draining: whether it takes no new requests.
    :param cold_left_s: time until the end of its cold start, as of the report.
    :param sequence: grows with each report of the incarnation.
    :param started_at_ms: Unix time of its start; 0 if not known.
    """

    server_id: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    region: str
    slots: int
    draining: bool
    cold_left_s: float
    sequence: int
    started_at_ms: int = 0

    def __deepcopy__(self, memo: dict[int, object]) -> "BackendServer":
        return self

    @property
    def incarnation(self) -> tuple[str, int]:
        """Key of one run of the server process."""
        return (self.server_id, self.started_at_ms)

    @property
    def report_version(self) -> tuple[int, int]:
        """Sort key of the reports of one server."""
        return (self.started_at_ms, self.sequence)
