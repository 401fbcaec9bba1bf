"""Claims on idempotency keys: client and server of the run ledgers.

A claim is sent to the owner of the key's shard and resent until the owner
replies. Without a reply, the outcome is unknown: an earlier attempt with the
same key may have run.
"""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event

from verbenad.bus import Bus, Sender
from verbenad.directory import Directory
from verbenaworks.run_ledger import RunLedger
from verbenaworks.run_messages import (
    AlreadyAnswered,
    ClaimReply,
    ClaimRun,
    CurrentGeneration,
    KeyReused,
    LedgerFull,
    QueryGeneration,
    ReportAnswered,
    ReportNotRun,
    ReportTaken,
    ReportUnknown,
    RunNow,
    RunReport,
    RunUnknown,
    StillRunning,
)
from verbenaworks.run_ticket import RunTicket

CLAIM_RESEND_INTERVAL_S = 0.25
REPORT_RESEND_INTERVAL_S = 0.5
# Interval of claims while another attempt runs.
STILL_RUNNING_INTERVAL_S = 0.1
MAX_REPORT_SENDS = 20
# A generation lasts 600 s and its tickets are accepted for six generations,
# so a new generation need not be known at once.
GENERATION_QUERY_INTERVAL_S = 30.0
# Interval of queries to an owner that has not replied yet.
GENERATION_RETRY_INTERVAL_S = 1.0

_REPLIES = (
    RunNow,
    AlreadyAnswered,
    StillRunning,
    RunUnknown,
    KeyReused,
    LedgerFull,
)
_REPORTS = (ReportAnswered, ReportNotRun, ReportUnknown)


class RunClaims:
    """Claims and ledgers of one instance.

    :param shards: number of shards.
    """

    def __init__(
        self,
        *,
        bus: Bus,
        directory: Directory,
        now_s: Callable[[], float],
        shards: int,
    ) -> None:
        self._bus = bus
        self._directory = directory
        self._now_s = now_s
        self._shards = shards
        self._ledgers: dict[int, RunLedger] = {}
        self._generations: dict[int, CurrentGeneration] = {}
        # Epoch and time of the last query to the owner of each shard.
        self._queried: dict[int, tuple[int, float]] = {}
        self._waiting: dict[str, Event] = {}
        self._unreported: set[str] = set()
        bus.subscribe(ClaimRun, self._on_claim)
        bus.subscribe(QueryGeneration, self._on_query)
        bus.subscribe(CurrentGeneration, self._on_generation)
        bus.subscribe(ReportTaken, self._on_report_taken)
        for reply_type in _REPLIES:
            bus.subscribe(reply_type, self._on_reply)
        for report_type in _REPORTS:
            bus.subscribe(report_type, self._on_report)

    @property
    def all_reported(self) -> bool:
        """Whether the end of every attempt has been reported."""
        return not self._unreported

    def set_owned_shards(self, epochs: dict[int, int]) -> None:
        """Set the shards that this instance owns, with their epochs.

        A shard starts each epoch with an empty ledger.
        """
        for shard in list(self._ledgers):
            if epochs.get(shard) != self._ledgers[shard].epoch:
                del self._ledgers[shard]
        for shard, epoch in epochs.items():
            if shard not in self._ledgers:
                self._ledgers[shard] = RunLedger(
                    shard=shard, epoch=epoch, started_at_s=self._now_s()
                )

    def ticket(self, block_hash: int) -> RunTicket | None:
        """Return a ticket for new keys; None if no owner is known."""
        for offset in range(self._shards):
            shard = (block_hash + offset) % self._shards
            known = self._generations.get(shard)
            owner = self._directory.owner(shard)
            if known and owner and known.epoch == owner.epoch:
                return RunTicket(
                    shard=shard,
                    epoch=known.epoch,
                    generation=known.generation,
                )
        return None

    def query_generations(self) -> None:
        """Query the owners whose generation is due for a refresh.

        Call it every ``GENERATION_RETRY_INTERVAL_S``. The owner of a new
        epoch is queried at once.
        """
        now_s = self._now_s()
        for shard in range(self._shards):
            owner = self._directory.owner(shard)
            if owner is None:
                continue
            known = self._generations.get(shard)
            epoch, queried_at_s = self._queried.get(shard, (0, now_s))
            is_known = known is not None and known.epoch == owner.epoch
            wait_s = (
                GENERATION_QUERY_INTERVAL_S
                if is_known
                else GENERATION_RETRY_INTERVAL_S
            )
            if epoch == owner.epoch and now_s < queried_at_s + wait_s:
                continue
            self._queried[shard] = owner.epoch, now_s
            self._bus.send(owner.bus_address, QueryGeneration(shard=shard))

    def claim(self, request: ClaimRun, deadline_s: float) -> ClaimReply | None:
        """Return the reply of the key's owner; None after ``deadline_s``."""
        owner = self._directory.owner(request.shard)
        if owner is not None and owner.epoch > request.epoch:
            return RunUnknown(attempt_id=request.attempt_id)
        event = Event()
        self._waiting[request.attempt_id] = event
        try:
            while self._now_s() < deadline_s:
                owner = self._directory.owner(request.shard)
                if owner is not None:
                    self._bus.send(owner.bus_address, request)
                with eventlet.Timeout(CLAIM_RESEND_INTERVAL_S, False):
                    reply: ClaimReply = event.wait()
                    return reply
        finally:
            del self._waiting[request.attempt_id]
        return None

    def claim_after_end(
        self, request: ClaimRun, deadline_s: float
    ) -> ClaimReply | None:
        """Return the reply once no other attempt runs.

        The end of an attempt reaches the owner a moment after the caller has
        its answer. A caller that sends the request again at once gets the
        same answer and not the news that the request is still running.

        :returns: ``StillRunning`` if another attempt runs until the deadline.
        """
        while True:
            reply = self.claim(request, deadline_s)
            left_s = deadline_s - self._now_s()
            if not isinstance(reply, StillRunning) or left_s <= 0:
                return reply
            eventlet.sleep(min(STILL_RUNNING_INTERVAL_S, left_s))
            if self._now_s() >= deadline_s:
                return reply

    def report(self, report: RunReport) -> None:
        """Send the end of an attempt until the owner acknowledges it."""
        self._unreported.add(report.attempt_id)
        eventlet.spawn_n(self._send_report, report)

    def _send_report(self, report: RunReport) -> None:
        for _ in range(MAX_REPORT_SENDS):
            owner = self._directory.owner(report.shard)
            if owner is not None and owner.epoch > report.epoch:
                break
            if owner is not None:
                self._bus.send(owner.bus_address, report)
            eventlet.sleep(REPORT_RESEND_INTERVAL_S)
            if report.attempt_id not in self._unreported:
                return
        self._unreported.discard(report.attempt_id)

    def _on_claim(self, sender: Sender, request: ClaimRun) -> None:
        ledger = self._ledgers.get(request.shard)
        if ledger is None or ledger.epoch < request.epoch:
            return
        self._bus.send(sender.address, ledger.claim(self._now_s(), request))

    def _on_reply(self, _sender: Sender, reply: Any) -> None:
        event = self._waiting.get(reply.attempt_id)
        if event is not None and not event.ready():
            event.send(reply)

    def _on_report(self, sender: Sender, report: RunReport) -> None:
        ledger = self._ledgers.get(report.shard)
        if ledger is not None:
            ledger.report(report)
        self._bus.send(
            sender.address, ReportTaken(attempt_id=report.attempt_id)
        )

    def _on_report_taken(self, _sender: Sender, message: ReportTaken) -> None:
        self._unreported.discard(message.attempt_id)

    def _on_query(self, sender: Sender, query: QueryGeneration) -> None:
        ledger = self._ledgers.get(query.shard)
        if ledger is None:
            return
        answer = CurrentGeneration(
            shard=query.shard,
            epoch=ledger.epoch,
            generation=ledger.generation(self._now_s()),
        )
        self._bus.send(sender.address, answer)

    def _on_generation(
        self, _sender: Sender, message: CurrentGeneration
    ) -> None:
        known = self._generations.get(message.shard)
        new = (message.epoch, message.generation)
        if known is None or (known.epoch, known.generation) < new:
            self._generations[message.shard] = message
