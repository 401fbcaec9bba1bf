"""Sends load reports in batches, at a limited rate of bytes."""

from collections.abc import Iterable, Mapping
from random import Random

from verbenaworks.health_messages import LoadBatch, SharedLoad
from verbenaworks.health_sender import MAX_DIRECT_MEMBERS, SendHealthMessage
from verbenaworks.load_report import LoadReport
from verbenaworks.member import Member

# On average, an instance also receives this many bytes per second, so batches
# use 0.6 KB/s of the 3 KB/s that all control messages may use.
LOAD_BYTES_PER_S = 300.0
# Envelope, message name and sender name, as encoded on the bus.
_FRAME_OVERHEAD_BYTES = 90
_MAX_BATCH_REPORTS = 32
_MAX_REPORT_AGE_S = 10.0
_MAX_CREDIT_BYTES = 600.0


class LoadSender:
    """Sends the load reports of one prober to other members in turn.

    In a small fleet, all members receive them; a batch also shows that this
    instance still probes. In a large fleet, only the members in the failure
    domains of the reported targets do, because they prefer those targets.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._members: Mapping[str, Member] = {}
        self._reports: dict[str, tuple[str, float, LoadReport]] = {}
        self._queue: list[str] = []
        self._credit_bytes = 0.0
        self._ticked_at_s: float | None = None

    def set_members(self, members: Mapping[str, Member]) -> None:
        """Replace the other running members, by bus address."""
        self._members = members

    def period_s(self) -> float:
        """Return the interval at which a member of a small fleet gets a batch.

        It is based on batches of about five reports of 25 bytes.
        """
        return (
            len(self._members)
            * (_FRAME_OVERHEAD_BYTES + 125)
            / LOAD_BYTES_PER_S
        )

    def add_report(
        self, target: str, domain: str, measured_s: float, load: LoadReport
    ) -> None:
        """Store the newest report of a target."""
        self._reports[target] = domain, measured_s, load

    def tick(self, now_s: float) -> list[SendHealthMessage]:
        """Return the batches that the byte rate allows now."""
        since_s = self._ticked_at_s if self._ticked_at_s is not None else now_s
        self._ticked_at_s = now_s
        self._credit_bytes = min(
            _MAX_CREDIT_BYTES,
            self._credit_bytes + LOAD_BYTES_PER_S * (now_s - since_s),
        )
        sends: list[SendHealthMessage] = []
        while self._credit_bytes > 0:
            address = self._next_address()
            if address is None:
                return sends
            send, size = self._batch(now_s, address)
            self._credit_bytes -= size
            sends.append(send)
        return sends

    def _next_address(self) -> str | None:
        while self._queue:
            address = self._queue.pop()
            if address in self._members:
                return address
        self._queue = sorted(self._recipients())
        self._rng.shuffle(self._queue)
        return self._queue.pop() if self._queue else None

    def _recipients(self) -> Iterable[str]:
        if len(self._members) <= MAX_DIRECT_MEMBERS:
            return self._members
        domains = {domain for domain, _, _ in self._reports.values()}
        return [
            address
            for address, member in self._members.items()
            if member.failure_domain in domains
        ]

    def _batch(
        self, now_s: float, address: str
    ) -> tuple[SendHealthMessage, int]:
        for target, (_, measured_s, _) in list(self._reports.items()):
            if now_s - measured_s > _MAX_REPORT_AGE_S:
                del self._reports[target]
        newest = sorted(
            self._reports.items(), key=lambda item: item[1][1], reverse=True
        )
        loads = tuple(
            SharedLoad(
                target=target,
                in_flight=load.in_flight,
                queued=load.queued,
                age_ms=round(1000 * (now_s - measured_s)),
            )
            for target, (_, measured_s, load) in newest[:_MAX_BATCH_REPORTS]
        )
        size = _FRAME_OVERHEAD_BYTES + sum(
            len(load.target) + 8 for load in loads
        )
        return SendHealthMessage(
            address=address, message=LoadBatch(loads=loads)
        ), size
