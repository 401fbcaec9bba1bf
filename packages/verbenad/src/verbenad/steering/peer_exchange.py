"""Datagrams in which instances tell one another of their load."""

import socket
import zlib
from collections.abc import Callable

import eventlet
import logbook

from verbenad.steering.crash_notes import CrashNotes
from verbenaworks.errors import WireError
from verbenaworks.steering.entry_directory import EntryDirectory
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.peer_report import PeerReport
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.workspace_rates import WorkspaceRates
from verbenaworks.wire import decode, encode

# Shortest time between two reports to a peer: about one service time.
PERIOD_S = 0.4
# Reports that one instance sends per second; more peers get them less often,
# so that the cost of an instance does not grow with the fleet.
MAX_SENT_PER_S = 40.0
# A peer's report of load is used for this many of its periods.
VALID_PERIODS = 2.5
MAX_DATAGRAM_BYTES = 65000

_log = logbook.Logger("verbenad.peers")


class PeerExchange:
    """Sends own reports to all registered instances and takes theirs.

    :param own: this instance.
    :param is_usable: whether this instance can serve requests with keys.
    :param is_leaving: whether it is shutting down.
    """

    def __init__(
        self,
        *,
        own: InstanceRecord,
        directory: EntryDirectory,
        table: ServerTable,
        placement: Placement,
        rates: WorkspaceRates,
        crashes: CrashNotes,
        is_usable: Callable[[], bool],
        is_leaving: Callable[[], bool],
        now_s: Callable[[], float],
    ) -> None:
        self._own = own
        self._directory = directory
        self._table = table
        self._placement = placement
        self._rates = rates
        self._crashes = crashes
        self._is_usable = is_usable
        self._is_leaving = is_leaving
        self._now_s = now_s
        self._number = 0
        self._heard: dict[str, tuple[float, PeerReport]] = {}
        host, _, port = own.peer_address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))

    def start(self) -> None:
        """Start sending and receiving."""
        eventlet.spawn_n(self._receive)
        eventlet.spawn_n(self._send)

    @property
    def period_s(self) -> float:
        """Time between two reports to one peer."""
        return max(PERIOD_S, len(self._directory.peers) / MAX_SENT_PER_S)

    def tell_now(self) -> None:
        """Send a report to all peers at once."""
        data = self._report()
        for peer in self._directory.peers:
            self._send_to(peer, data)

    def _send(self) -> None:
        while True:
            eventlet.sleep(self.period_s)
            try:
                self._merge()
                self.tell_now()
            except Exception:
                _log.exception("a report was not sent")

    def _report(self) -> bytes:
        self._number += 1
        now_s = self._now_s()
        report = PeerReport(
            name=self._own.name,
            incarnation=self._own.incarnation,
            number=self._number,
            usable=self._is_usable(),
            leaving=self._is_leaving(),
            in_flight={
                short_hash(server_id): count
                for server_id, count in self._placement.in_flight().items()
            },
            stated={
                short_hash(server_id): load
                for server_id, load in self._placement.stated_loads(
                    now_s - self.period_s
                ).items()
            },
            usage=self._rates.own_usage(now_s),
            crashes=self._crashes.recent(),
        )
        return encode(report)

    def _send_to(self, peer: InstanceRecord, data: bytes) -> None:
        host, _, port = peer.peer_address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as error:
            _log.debug(
                "report not sent",
                extra={"peer": peer.name, "reason": str(error)},
            )

    def _receive(self) -> None:
        while True:
            try:
                data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                report = decode(data)
                if isinstance(report, PeerReport):
                    self._take(report)
            except (WireError, OSError) as error:
                _log.warning("report dropped", extra={"reason": str(error)})
                eventlet.sleep(0)
            except Exception:
                _log.exception("a report was not taken")

    def _take(self, report: PeerReport) -> None:
        now_s = self._now_s()
        self._crashes.heard(report.crashes)
        held = self._heard.get(report.name)
        if held is not None and (
            (held[1].incarnation, held[1].number)
            >= (report.incarnation, report.number)
        ):
            return
        known = self._directory.heard(
            now_s,
            report.name,
            report.incarnation,
            usable=report.usable,
            leaving=report.leaving,
        )
        if not known:
            return
        self._heard[report.name] = (now_s, report)
        self._rates.heard(now_s, report.name, report.incarnation, report.usage)

    def _merge(self) -> None:
        """Compute what the reports mean for load and rates."""
        now_s = self._now_s()
        oldest_s = now_s - VALID_PERIODS * self.period_s
        by_hash: dict[int, float] = {}
        names = set(self._directory.names)
        for name, (at_s, report) in list(self._heard.items()):
            if name not in names:
                del self._heard[name]
            elif at_s >= oldest_s:
                for key, count in report.in_flight.items():
                    by_hash[key] = by_hash.get(key, 0.0) + count
        self._placement.set_peers_in_flight(
            now_s,
            {
                server_id: by_hash.get(short_hash(server_id), 0.0)
                for server_id in self._table.ids
            },
        )
        self._rates.divide(now_s)


def short_hash(server_id: str) -> int:
    """Return the number by which reports name a server."""
    return zlib.crc32(server_id.encode("utf-8", "replace"))
