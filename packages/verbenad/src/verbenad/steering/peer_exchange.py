"""Datagrams in which instances tell one another of their load."""

import socket
import zlib
from collections.abc import Callable, Iterable

import eventlet
import logbook

from verbenad.steering.crash_notes import CrashNotes
from verbenad.steering.rate_desk import RateDesk
from verbenaworks.errors import WireError
from verbenaworks.steering.active_peers import ActivePeers
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_load import InstanceLoad
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.peer_report import PeerBeat, PeerReport
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.rate_messages import RateAnswer, RateNotice
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter
from verbenaworks.wire import decode, encode

# Shortest time between two reports to a peer: about one service time.
PERIOD_S = 0.4
# Reports that one instance sends per second; more peers get them less often,
# so that the cost of an instance does not grow with the fleet.
MAX_SENT_PER_S = 40.0
# Serving instances send signs of life to the others this often.
BEAT_PERIOD_S = 1.0
# The same for instances in reserve, whose death callers do not notice.
IDLE_BEAT_PERIOD_S = 5.0
# A peer's report of load is used for this many of its periods.
VALID_PERIODS = 2.5
MAX_DATAGRAM_BYTES = 65000

_log = logbook.Logger("verbenad.peers")


class PeerExchange:
    """Sends own reports to the instances that serve, and takes theirs.

    :param own: this instance.
    :param load: requests of this instance.
    :param is_usable: whether this instance can serve requests with keys.
    :param is_leaving: whether it is shutting down.
    """

    def __init__(
        self,
        *,
        own: InstanceRecord,
        directory: InstanceDirectory,
        table: ServerTable,
        placement: Placement,
        rates: WorkspaceRateLimiter,
        crashes: CrashNotes,
        load: InstanceLoad,
        is_usable: Callable[[], bool],
        is_leaving: Callable[[], bool],
        on_members: Callable[[], None],
        now_s: Callable[[], float],
    ) -> None:
        self.peers = ActivePeers(own)
        self.desk = RateDesk(rates=rates, send=self.send, now_s=now_s)
        self._own = own
        self._directory = directory
        self._table = table
        self._placement = placement
        self._rates = rates
        self._crashes = crashes
        self._load = load
        self._is_usable = is_usable
        self._is_leaving = is_leaving
        self._on_members = on_members
        self._now_s = now_s
        self._number = 0
        self._heard: dict[str, tuple[float, PeerReport]] = {}
        self._registered: set[tuple[str, int]] = set()
        self._numbers: dict[str, tuple[int, int]] = {}
        self._was_active = False
        self._next_beat_s = float("-inf")
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
        return max(
            PERIOD_S, len(self.peers.report_recipients) / MAX_SENT_PER_S
        )

    @property
    def is_active(self) -> bool:
        """Whether this instance takes part in the exchange of reports."""
        return self.peers.is_small_fleet or self._load.is_active(self._now_s())

    def set_registered(self, records: Iterable[InstanceRecord]) -> None:
        """Replace the registered instances other than this one."""
        records = list(records)
        known = self._registered
        self._registered = {(r.name, r.incarnation) for r in records}
        self.peers.set_registered(records)
        if self.is_active:
            # A new run needs to know soon what is in use here.
            self._tell(
                r for r in records if (r.name, r.incarnation) not in known
            )

    def served(self, size_bytes: int) -> None:
        """Count a request; the first one makes this instance active."""
        self._load.record_request(self._now_s(), size_bytes)
        if not self._was_active:
            self._was_active = True
            self._tell(self._directory.peers)

    def tell_now(self) -> None:
        """Send word to all instances at once."""
        self._tell(self.peers.report_recipients)
        self._beat()

    def send(self, name: str, message: object) -> None:
        """Send a message to a registered instance."""
        peer = self._directory.peer(name)
        if peer is not None:
            self._send_to(peer, encode(message))

    def _send(self) -> None:
        while True:
            period_s = self.period_s if self.is_active else BEAT_PERIOD_S
            eventlet.sleep(period_s)
            try:
                self._merge()
                if self.is_active:
                    self._tell(self.peers.report_recipients)
                elif self._was_active:
                    self._was_active = False
                    self._next_beat_s = self._now_s()
                    self._tell(self.peers.report_recipients)
                if self._now_s() >= self._next_beat_s:
                    self._beat()
            except Exception:
                _log.exception("a report was not sent")

    def _tell(self, peers: Iterable[InstanceRecord]) -> None:
        data = encode(self._report())
        for peer in peers:
            self._send_to(peer, data)

    def _beat(self) -> None:
        period_s = BEAT_PERIOD_S if self.is_active else IDLE_BEAT_PERIOD_S
        self._next_beat_s = self._now_s() + period_s
        data = encode(self._own_beat())
        for peer in self.peers.heartbeat_recipients():
            self._send_to(peer, data)

    def _own_beat(self) -> PeerBeat:
        self._number += 1
        return PeerBeat(
            name=self._own.name,
            incarnation=self._own.incarnation,
            number=self._number,
            usable=self._is_usable(),
            leaving=self._is_leaving(),
            active=self.is_active,
            load=round(self._load.used_capacity(self._now_s()), 3),
        )

    def _report(self) -> PeerReport:
        now_s = self._now_s()
        return PeerReport(
            beat=self._own_beat(),
            in_flight={
                short_hash(server_id): count
                for server_id, count in self._placement.in_flight().items()
            },
            usage=self._rates.local_usage(now_s),
            crashes=self._crashes.recent(),
            missing=self._missing(now_s),
        )

    def _missing(self, now_s: float) -> tuple[str, ...]:
        """Return the serving instances that are not heard."""
        if self.peers.is_small_fleet:
            return ()
        oldest_s = now_s - VALID_PERIODS * self.period_s
        return tuple(
            peer.name
            for peer in self.peers.report_recipients
            if peer.name not in self._heard
            or self._heard[peer.name][0] < oldest_s
        )

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
                self._take(decode(data))
            except (WireError, OSError) as error:
                _log.warning("report dropped", extra={"reason": str(error)})
                eventlet.sleep(0)
            except Exception:
                _log.exception("a report was not taken")

    def _take(self, message: object) -> None:
        match message:
            case PeerReport(beat=beat, crashes=crashes, missing=missing):
                self._crashes.heard(crashes)
                if self._take_beat(beat, missing):
                    now_s = self._now_s()
                    self._heard[beat.name] = (now_s, message)
                    self._rates.record_report(
                        now_s, beat.name, beat.incarnation, message.usage
                    )
            case PeerBeat():
                self._take_beat(message, ())
            case RateNotice():
                self.desk.take_notice(message)
            case RateAnswer():
                self.desk.take_answer(message)

    def _take_beat(self, beat: PeerBeat, missing: Iterable[str]) -> bool:
        """Take a sign of life; false if it is old or of nobody known."""
        number = (beat.incarnation, beat.number)
        if self._numbers.get(beat.name, (0, 0)) >= number:
            return False
        is_known = self._directory.record_heartbeat(
            self._now_s(),
            beat.name,
            beat.incarnation,
            usable=beat.usable,
            leaving=beat.leaving,
            active=beat.active,
            load=beat.load,
        )
        if not is_known:
            return False
        self._numbers[beat.name] = number
        members = self.peers.members
        is_new = self.peers.record_report(
            beat.name, active=beat.active, missing=missing
        )
        if self.peers.members != members:
            self._on_members()
        if is_new and self.is_active:
            # It does not know yet what is in use here.
            self.send(beat.name, self._report())
        return True

    def _merge(self) -> None:
        """Compute what the reports mean for load and rates."""
        now_s = self._now_s()
        oldest_s = now_s - VALID_PERIODS * self.period_s
        by_hash: dict[int, float] = {}
        names = set(self._directory.names)
        for name in [n for n in self._numbers if n not in names]:
            del self._numbers[name]
        for name, (at_s, report) in list(self._heard.items()):
            if name not in names:
                del self._heard[name]
            elif at_s >= oldest_s:
                for key, count in report.in_flight.items():
                    by_hash[key] = by_hash.get(key, 0.0) + count
        self._placement.set_peer_requests(
            now_s,
            {
                server_id: by_hash.get(short_hash(server_id), 0.0)
                for server_id in self._table.server_ids
            },
        )
        self._rates.refresh(now_s)


def short_hash(server_id: str) -> int:
    """Return the number by which reports name a server."""
    return zlib.crc32(server_id.encode("utf-8", "replace"))
