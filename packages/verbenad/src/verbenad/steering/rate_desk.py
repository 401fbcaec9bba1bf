"""Asks the keepers of workspaces' rates over datagrams."""

from collections.abc import Callable

import logbook
from eventlet.event import Event

from verbenaworks.steering.admission import Admission
from verbenaworks.steering.rate_messages import RateAnswer, RateNotice
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter

# A keeper's answer takes a round trip between regions and a turn of its loop.
ANSWER_S = 0.1
# A datagram may be lost.
ASKS = 2

_log = logbook.Logger("verbenad.rates")


class RateDesk:
    """Decides on requests, together with the keeper where that is needed.

    :param send: sends a message to a named instance.
    """

    def __init__(
        self,
        *,
        rates: WorkspaceRateLimiter,
        send: Callable[[str, object], None],
        now_s: Callable[[], float],
    ) -> None:
        self._rates = rates
        self._send = send
        self._now_s = now_s
        self._waiting: dict[int, Event] = {}

    def take(self, workspace: str) -> bool:
        """Return whether a request fits into its workspace's rate."""
        match self._rates.admit(self._now_s(), workspace):
            case Admission.ACCEPTED:
                return True
            case Admission.ACCEPTED_AND_NOTIFY:
                self._notify(workspace, asks=False)
                return True
            case Admission.ASK_COORDINATOR:
                return self._ask(workspace)
        return False

    def take_notice(self, notice: RateNotice) -> None:
        """Answer another instance as the keeper."""
        answer = self._rates.handle_notice(self._now_s(), notice)
        if answer is not None:
            self._send(notice.name, answer)

    def take_answer(self, answer: RateAnswer) -> None:
        """Take the keeper's answer."""
        event = self._waiting.pop(answer.number, None)
        self._rates.handle_answer(
            self._now_s(), answer, asked=event is not None
        )
        if event is not None:
            event.send(answer.granted)

    def _ask(self, workspace: str) -> bool:
        for _ in range(ASKS):
            event = Event()
            number = self._notify(workspace, asks=True, event=event)
            granted: bool | None = event.wait(ANSWER_S)
            if granted is not None:
                return granted
            self._waiting.pop(number, None)
        _log.warning(
            "keeper does not answer",
            extra={
                "workspace": workspace,
                "keeper": self._rates.coordinator_of(workspace),
            },
        )
        return False

    def _notify(
        self, workspace: str, *, asks: bool, event: Event | None = None
    ) -> int:
        notice = self._rates.make_notice(self._now_s(), workspace, asks=asks)
        if event is not None:
            self._waiting[notice.number] = event
        self._send(self._rates.coordinator_of(workspace), notice)
        return notice.number
