"""Ledger of idempotency keys of one shard in one epoch.

The ledger lives in the memory of the shard's owner and dies with it. That is
safe because a key names the epoch of its ledger: no other ledger lets it run.
The owner needs no valid lease to answer, since the ledgers of two epochs
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
# Per ledger; 16 ledgers at one instance stay within 8 MB of answers.
MAX_ANSWERS_BYTES = 512 * 1024
MAX_RECORDS = 20_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Record:
    generation: int
    attempt_id: str
    fingerprint: str
    is_ended: bool = False
    answer: StoredAnswer | None = None


class RunLedger:
    """Decides which attempt may run the request of a key.

    :param shard: the shard.
    :param epoch: the owner's epoch.
    :param started_at_s: the owner's monotonic time at the epoch's start.
    """

    def __init__(self, shard: int, epoch: int, started_at_s: float) -> None:
        self.shard = shard
        self.epoch = epoch
        self._started_at_s = started_at_s
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._answers_bytes = 0
        # Keys whose answer is kept, in the order of the answers. Without
        # it, each report would search all records for the oldest answer.
        self._answered: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def generation(self, now_s: float) -> int:
        """Return the generation of tickets issued now."""
        return int((now_s - self._started_at_s) / GENERATION_S)

    def claim(self, now_s: float, request: ClaimRun) -> ClaimReply:
        """Answer a claim; repeating a claim repeats its answer."""
        attempt_id = request.attempt_id
        current = self.generation(now_s)
        self._forget_older_than(current - KEPT_GENERATIONS + 1)
        if not self._decides_about(request, current):
            return RunUnknown(attempt_id=attempt_id)
        record = self._records.get(request.key)
        if record is None:
            return self._enter(request)
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
        """Enter the end of an attempt; late and repeated reports are safe."""
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
                self._keep_answer(report.key, record, answer)

    def _decides_about(self, request: ClaimRun, current: int) -> bool:
        if request.shard != self.shard or request.epoch != self.epoch:
            return False
        oldest = current - KEPT_GENERATIONS + 1
        return oldest <= request.generation <= current

    def _enter(self, request: ClaimRun) -> ClaimReply:
        if len(self._records) >= MAX_RECORDS:
            return LedgerFull(attempt_id=request.attempt_id)
        self._records[request.key] = _Record(
            generation=request.generation,
            attempt_id=request.attempt_id,
            fingerprint=request.fingerprint,
        )
        return RunNow(attempt_id=request.attempt_id)

    def _keep_answer(
        self, key: str, record: _Record, answer: StoredAnswer | None
    ) -> None:
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        self._records[key] = replace(record, is_ended=True, answer=answer)
        if answer is None:
            return
        self._answers_bytes += len(answer.body)
        self._answered[key] = None
        self._drop_answers()

    def _drop_answers(self) -> None:
        """Drop the oldest answers; their keys stay known."""
        while self._answers_bytes > MAX_ANSWERS_BYTES:
            key, _ = self._answered.popitem(last=False)
            record = self._records[key]
            if record.answer is not None:
                self._answers_bytes -= len(record.answer.body)
            self._records[key] = replace(record, answer=None)

    def _forget_older_than(self, generation: int) -> None:
        """Forget keys that are refused by their ticket's age alone."""
        stale = [
            key
            for key, record in self._first_records(generation)
            if record.generation < generation
        ]
        for key in stale:
            answer = self._records.pop(key).answer
            self._answered.pop(key, None)
            if answer is not None:
                self._answers_bytes -= len(answer.body)

    def _first_records(self, generation: int) -> list[tuple[str, _Record]]:
        """Return the oldest entries up to the first one that stays.

        Entries are in order of arrival, so a key with an old ticket that
        arrived late is found only once the entries before it are gone.
        """
        found = []
        for key, record in self._records.items():
            if record.generation >= generation:
                break
            found.append((key, record))
        return found
