"""Ledger of the idempotency keys of one shard in one epoch.

The ledger exists only in the memory of the shard's owner. Losing it is safe,
because a key names the epoch of its ledger and no other ledger allows it to
run. The owner needs no valid lease to reply, because the ledgers of two epochs
decide about different keys.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

from verbenaworks.run_messages import (
    AlreadyAnswered,
    ClaimReply,
    ClaimRun,
    KeyReused,
    LedgerFull,
    ReportAnswered,
    ReportNotRun,
    ReportUnknown,
    RunNow,
    RunReport,
    RunUnknown,
    StillRunning,
    StoredAnswer,
)

GENERATION_S = 600.0
KEPT_GENERATIONS = 6
MAX_ANSWER_BYTES = 16_384
# Per ledger, so that 16 ledgers at one instance keep at most 8 MB of bodies.
MAX_STORED_ANSWERS_BYTES = 512 * 1024
MAX_RECORDS = 20_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Record:
    generation: int
    attempt_id: str
    fingerprint: str
    is_ended: bool = False
    answer: StoredAnswer | None = None


class RunLedger:
    """Decides which attempt may run the request of an idempotency key.

    :param shard: the shard.
    :param epoch: the owner's epoch.
    :param started_at_s: the owner's monotonic time at the epoch's start.
    """

    def __init__(self, shard: int, epoch: int, started_at_s: float) -> None:
        self.shard = shard
        self.epoch = epoch
        self._started_at_s = started_at_s
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._stored_answer_bytes = 0
        # Keys with a stored answer, oldest answer first. It avoids a search
        # of all records for the oldest answer at each report.
        self._answered_keys: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def generation(self, now_s: float) -> int:
        """Return the generation of tickets issued now."""
        return int((now_s - self._started_at_s) / GENERATION_S)

    def claim(self, now_s: float, request: ClaimRun) -> ClaimReply:
        """Return the reply to a claim; repeating a claim repeats its reply."""
        attempt_id = request.attempt_id
        current = self.generation(now_s)
        self._remove_older_than(current - KEPT_GENERATIONS + 1)
        if not self._is_decided_here(request, current):
            return RunUnknown(attempt_id=attempt_id)
        record = self._records.get(request.key)
        if record is None:
            return self._add_record(request)
        if record.fingerprint != request.fingerprint:
            return KeyReused(attempt_id=attempt_id)
        if record.answer is not None:
            return AlreadyAnswered(attempt_id=attempt_id, answer=record.answer)
        if record.is_ended:
            return RunUnknown(attempt_id=attempt_id)
        if record.attempt_id == attempt_id:
            return RunNow(attempt_id=attempt_id)
        return StillRunning(attempt_id=attempt_id)

    def report(self, report: RunReport) -> None:
        """Record the end of an attempt; late and repeated reports are safe."""
        record = self._records.get(report.key)
        if record is None or report.epoch != self.epoch:
            return
        if record.attempt_id != report.attempt_id or record.is_ended:
            return
        match report:
            case ReportNotRun():
                del self._records[report.key]
            case ReportUnknown():
                self._records[report.key] = replace(record, is_ended=True)
            case ReportAnswered(answer=answer):
                self._store_answer(report.key, record, answer)

    def _is_decided_here(self, request: ClaimRun, current: int) -> bool:
        if request.shard != self.shard or request.epoch != self.epoch:
            return False
        oldest = current - KEPT_GENERATIONS + 1
        return oldest <= request.generation <= current

    def _add_record(self, request: ClaimRun) -> ClaimReply:
        if len(self._records) >= MAX_RECORDS:
            return LedgerFull(attempt_id=request.attempt_id)
        self._records[request.key] = _Record(
            generation=request.generation,
            attempt_id=request.attempt_id,
            fingerprint=request.fingerprint,
        )
        return RunNow(attempt_id=request.attempt_id)

    def _store_answer(
        self, key: str, record: _Record, answer: StoredAnswer | None
    ) -> None:
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        self._records[key] = replace(record, is_ended=True, answer=answer)
        if answer is None:
            return
        self._stored_answer_bytes += len(answer.body)
        self._answered_keys[key] = None
        self._remove_oldest_answers()

    def _remove_oldest_answers(self) -> None:
        """Remove the oldest answers; the records of their keys stay."""
        while self._stored_answer_bytes > MAX_STORED_ANSWERS_BYTES:
            key, _ = self._answered_keys.popitem(last=False)
            record = self._records[key]
            if record.answer is not None:
                self._stored_answer_bytes -= len(record.answer.body)
            self._records[key] = replace(record, answer=None)

    def _remove_older_than(self, generation: int) -> None:
        """Remove keys that are refused for the age of their ticket alone."""
        stale = [
            key
            for key, record in self._leading_records_before(generation)
            if record.generation < generation
        ]
        for key in stale:
            answer = self._records.pop(key).answer
            self._answered_keys.pop(key, None)
            if answer is not None:
                self._stored_answer_bytes -= len(answer.body)

    def _leading_records_before(
        self, generation: int
    ) -> list[tuple[str, _Record]]:
        """Return the oldest records up to the first one that stays.

        Records are in order of arrival, so a key with an old ticket that
        arrived late is found only after the records before it are removed.
        """
        found = []
        for key, record in self._records.items():
            if record.generation >= generation:
                break
            found.append((key, record))
        return found
