"""Decides whether requests fit into the rates of their workspaces."""

from collections.abc import Callable

import logbook
from eventlet.event import Event

from verbenaworks.steering.admission import Admission
from verbenaworks.steering.rate_messages import RateAnswer, RateNotice
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter

# Covers a round trip between regions and one turn of the coordinator's event
# loop.
REPLY_TIMEOUT_S = 0.1
# The second query is sent because a datagram may be lost.
MAX_QUERIES = 2
# Requests in a row without a reply after which the coordinators count as lost.
MAX_LOST_REPLIES = 3

_log = logbook.Logger("verbenad.rates")


class WorkspaceAdmission:
    """Decides on requests, together with the coordinator where needed.

    :param rate_limiter: local counts of the workspaces' requests.
    :param send: sends a message to the instance with a name.
    :param on_coordinator_lost: called if coordinators do not reply several
        times in a row.
    """

    def __init__(
        self,
        *,
        rate_limiter: WorkspaceRateLimiter,
        send: Callable[[str, object], None],
        on_coordinator_lost: Callable[[], None],
        now_s: Callable[[], float],
    ) -> None:
        self._rate_limiter = rate_limiter
        self._send = send
        self._on_coordinator_lost = on_coordinator_lost
        self._now_s = now_s
        self._pending_replies: dict[int, Event] = {}
        self._lost_replies = 0

    def admit(self, workspace: str) -> bool:
        """Return whether a request fits into its workspace's rate.

        An admitted request is counted. This may wait for the coordinator.
        """
        match self._rate_limiter.admit(self._now_s(), workspace):
            case Admission.ACCEPTED:
                return True
            case Admission.ACCEPTED_AND_NOTIFY:
                self._send_notice(workspace, asks=False)
                return True
            case Admission.ASK_COORDINATOR:
                return self._ask_coordinator(workspace)
        return False

    def handle_notice(self, notice: RateNotice) -> None:
        """Reply to another instance as the coordinator."""
        reply = self._rate_limiter.handle_notice(self._now_s(), notice)
        if reply is not None:
            self._send(notice.name, reply)

    def handle_reply(self, reply: RateAnswer) -> None:
        """Handle the coordinator's reply."""
        event = self._pending_replies.pop(reply.number, None)
        self._rate_limiter.handle_answer(
            self._now_s(), reply, asked=event is not None
        )
        if event is not None:
            event.send(reply.granted)

    def _ask_coordinator(self, workspace: str) -> bool:
        for _ in range(MAX_QUERIES):
            event = Event()
            number = self._send_notice(workspace, asks=True, event=event)
            granted: bool | None = event.wait(REPLY_TIMEOUT_S)
            if granted is not None:
                self._lost_replies = 0
                return granted
            self._pending_replies.pop(number, None)
        _log.warning(
            "coordinator does not reply",
            extra={
                "workspace": workspace,
                "keeper": self._rate_limiter.coordinator_of(workspace),
            },
        )
        self._lost_replies += 1
        if self._lost_replies >= MAX_LOST_REPLIES:
            self._on_coordinator_lost()
        return False

    def _send_notice(
        self, workspace: str, *, asks: bool, event: Event | None = None
    ) -> int:
        notice = self._rate_limiter.make_notice(
            self._now_s(), workspace, asks=asks
        )
        if event is not None:
            self._pending_replies[notice.number] = event
        self._send(self._rate_limiter.coordinator_of(workspace), notice)
        return notice.number
