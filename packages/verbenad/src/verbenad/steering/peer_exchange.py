"""Exchanges load reports and heartbeats between instances, in datagrams."""

import socket
from collections.abc import Callable, Iterable

import eventlet
import logbook

from verbenad.steering.crash_tracker import CrashTracker
from verbenad.steering.peer_shares import PeerShares
from verbenad.steering.peer_traffic import PeerTraffic
from verbenad.steering.workspace_admission import WorkspaceAdmission
from verbenaworks.errors import WireError
from verbenaworks.steering.active_peers import ActivePeers
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_load import InstanceLoad
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.peer_report import PeerBeat, PeerReport
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.rate_messages import RateAnswer, RateNotice
from verbenaworks.steering.report_summary import (
    add_requests,
    incarnation_hash,
    pack_counts,
    pack_shares,
    requests_by_region,
    servers_of,
    total_in_flight,
)
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter
from verbenaworks.wire import decode, encode

# Shortest period of reports to a peer: about the time to serve one request.
MIN_REPORT_PERIOD_S = 0.4
# Most reports that one instance sends per second. With more peers, each one
# gets reports less often, so that the cost does not grow with the fleet.
MAX_REPORTS_PER_S = 40.0
# Period of the heartbeats that serving instances send to the others.
HEARTBEAT_PERIOD_S = 1.0
# The same for standby instances, whose failure callers do not notice.
STANDBY_HEARTBEAT_PERIOD_S = 20.0
# An instance that stops serving tells all the others in this many rounds,
# because a datagram may be lost.
STANDBY_NOTICES = 3
# The registrations of a fleet that starts arrive in this time. Before, an
# instance may wrongly find itself among those that should serve.
REGISTRATIONS_SETTLE_S = 1.0
# Instances of other regions get one report in this many: they share few
# servers with this one, and links between regions are paid for.
REMOTE_REPORT_INTERVAL = 2
# One report in this many names all workspaces. The others name only those
# with requests in the time that covers the lost reports before.
FULL_REPORT_INTERVAL = 6
CHANGE_PERIODS = 3.0
# A peer's report is used for this many report periods.
REPORT_VALID_PERIODS = 2.5
# The demand of the regions is known if this share of the instances has
# reported.
MIN_REPORTING_SHARE = 0.75
# The other instances are told for this long that a server is leaving.
REPORT_LEAVING_S = 10.0
MAX_DATAGRAM_BYTES = 65000

_log = logbook.Logger("verbenad.peers")


class PeerExchange:
    """Sends reports of this instance to its peers and handles theirs.

    :param local_instance: record of this instance.
    :param load: load of this instance.
    :param traffic: counts what this instance sends.
    :param is_usable: returns whether this instance can serve requests with
        keys.
    :param is_leaving: returns whether this instance is shutting down.
    :param config_version: returns the version of the configuration in force.
    :param on_config_version: called with the name of another instance and the
        version that it has in force.
    :param on_members: called after the set of peers that share limits with
        this instance changed.
    """

    def __init__(
        self,
        *,
        local_instance: InstanceRecord,
        directory: InstanceDirectory,
        table: ServerTable,
        placement: Placement,
        limits: ServerLimits,
        rate_limiter: WorkspaceRateLimiter,
        crash_tracker: CrashTracker,
        load: InstanceLoad,
        traffic: PeerTraffic,
        is_usable: Callable[[], bool],
        is_leaving: Callable[[], bool],
        config_version: Callable[[], int],
        on_config_version: Callable[[str, int], None],
        on_members: Callable[[], None],
        now_s: Callable[[], float],
    ) -> None:
        self.peers = ActivePeers(local_instance)
        self.admission = WorkspaceAdmission(
            rate_limiter=rate_limiter,
            send=self.send,
            on_coordinator_lost=self._activate,
            now_s=now_s,
        )
        self._local_instance = local_instance
        self._directory = directory
        self._table = table
        self._placement = placement
        self._limits = limits
        self._rate_limiter = rate_limiter
        self._crash_tracker = crash_tracker
        self._load = load
        self._traffic = traffic
        self._is_usable = is_usable
        self._is_leaving = is_leaving
        self._config_version = config_version
        self._on_config_version = on_config_version
        self._on_members = on_members
        self._now_s = now_s
        self._last_sent_number = 0
        self._report_count = 0
        self._reports: dict[str, tuple[float, PeerReport]] = {}
        self._peer_shares = PeerShares(local_instance.region, table)
        self._registered: set[tuple[str, int]] = set()
        self._last_received_numbers: dict[str, tuple[int, int]] = {}
        self._was_active = False
        self._serving_names: frozenset[str] = frozenset()
        self._first_registered_s = float("inf")
        self._standby_notices_left = 0
        self._next_heartbeat_s = float("-inf")
        host, _, port = local_instance.peer_address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))

    def start(self) -> None:
        """Start sending and receiving."""
        eventlet.spawn_n(self._receive)
        eventlet.spawn_n(self._send_periodically)

    @property
    def report_period_s(self) -> float:
        """Time in seconds between two reports to a peer of the region."""
        return max(
            MIN_REPORT_PERIOD_S,
            len(self.peers.report_recipients) / MAX_REPORTS_PER_S,
        )

    @property
    def remote_report_period_s(self) -> float:
        """Time in seconds between two reports to any other peer."""
        return REMOTE_REPORT_INTERVAL * self.report_period_s

    @property
    def _valid_s(self) -> float:
        return REPORT_VALID_PERIODS * self.remote_report_period_s

    @property
    def is_active(self) -> bool:
        """Whether this instance takes part in the exchange of reports."""
        now_s = self._now_s()
        is_settled = now_s - self._first_registered_s >= REGISTRATIONS_SETTLE_S
        return (
            self.peers.is_small_fleet
            or (
                is_settled and self._local_instance.name in self._serving_names
            )
            or self._load.is_active(now_s)
        )

    def set_registered(self, records: Iterable[InstanceRecord]) -> None:
        """Replace the registered instances other than this one."""
        records = list(records)
        if records:
            self._first_registered_s = min(
                self._first_registered_s, self._now_s()
            )
        known = self._registered
        self._registered = {(r.name, r.incarnation) for r in records}
        self.peers.set_registered(records)
        self._update_serving_names()
        if self.is_active:
            # A new incarnation needs this instance's load and usage soon.
            self._send_reports(
                r for r in records if (r.name, r.incarnation) not in known
            )

    def record_request(self) -> None:
        """Count a request that has arrived, whether or not it may run.

        An instance that gets requests regularly becomes active; it then tells
        all peers at once.
        """
        self._load.record_request(self._now_s())
        self._update_role()

    def record_body(self, size_bytes: int) -> None:
        """Count the bytes of a request's body."""
        self._load.record_body(self._now_s(), size_bytes)

    def _update_serving_names(self) -> None:
        now_s = self._now_s()
        if not self.peers.is_small_fleet:
            self._serving_names = self._directory.serving_names(
                now_s, self._load.used_capacity(now_s)
            )
            self.peers.set_serving(self._serving_names)

    def _activate(self) -> None:
        self._load.activate(self._now_s())
        self._update_role()

    def _update_role(self) -> None:
        """Join or leave the instances that exchange reports."""
        is_active = self.is_active
        coordinators: frozenset[str] = frozenset()
        if not is_active:
            coordinators = self.peers.active_names or self._serving_names
        self._rate_limiter.set_standby(coordinators)
        if is_active and not self._was_active:
            self._was_active = True
            self._standby_notices_left = 0
            self._on_members()
            self._announce_active()

    def _announce_active(self) -> None:
        """Tell all instances that this one serves requests.

        Only those that serve requests too use a report.
        """
        recipients = self.peers.report_recipients
        names = {peer.name for peer in recipients}
        self._send_reports(recipients)
        self._send_heartbeat_to(
            peer for peer in self._directory.peers if peer.name not in names
        )

    def announce_servers(self) -> None:
        """Tell the serving peers at once what servers say of themselves."""
        if self.is_active:
            changes_s = CHANGE_PERIODS * self.remote_report_period_s
            self._send_reports(
                self.peers.report_recipients, self._now_s() - changes_s
            )

    @property
    def hears_most_peers(self) -> bool:
        """Whether most of the serving peers have reported lately."""
        peers = self.peers.report_recipients
        missing = self._unheard_peers(self._now_s())
        return not peers or 2 * len(missing) < len(peers)

    def announce_now(self) -> None:
        """Send a report and heartbeats to the peers at once."""
        self._send_reports(self.peers.report_recipients)
        self._send_heartbeats()

    def send(self, name: str, message: object) -> None:
        """Send a message to a registered instance."""
        peer = self._directory.peer(name)
        if peer is not None:
            self._send_to(peer, type(message).__name__, encode(message))

    def _send_periodically(self) -> None:
        while True:
            period_s = (
                self.report_period_s if self.is_active else HEARTBEAT_PERIOD_S
            )
            eventlet.sleep(period_s)
            try:
                self._update_serving_names()
                self._update_role()
                self._apply_reports()
                if self.is_active:
                    self._send_periodic_report()
                elif self._was_active:
                    self._was_active = False
                    self._standby_notices_left = STANDBY_NOTICES
                    self._on_members()
                if self._standby_notices_left:
                    self._standby_notices_left -= 1
                    self._send_heartbeat_to(self._directory.peers)
                if self._now_s() >= self._next_heartbeat_s:
                    self._send_heartbeats()
            except Exception:
                _log.exception("sending reports failed")

    def _send_periodic_report(self) -> None:
        self._report_count += 1
        recipients = self.peers.report_recipients
        if self._report_count % REMOTE_REPORT_INTERVAL:
            region = self._local_instance.region
            recipients = [p for p in recipients if p.region == region]
        if self._report_count % FULL_REPORT_INTERVAL:
            changes_s = CHANGE_PERIODS * self.remote_report_period_s
            self._send_reports(recipients, self._now_s() - changes_s)
        else:
            self._send_reports(recipients)

    def _send_reports(
        self,
        peers: Iterable[InstanceRecord],
        changed_since_s: float = float("-inf"),
    ) -> None:
        data = encode(self._make_report(changed_since_s))
        for peer in peers:
            self._send_to(peer, PeerReport.__name__, data)

    def _send_heartbeats(self) -> None:
        period_s = (
            HEARTBEAT_PERIOD_S
            if self.is_active
            else STANDBY_HEARTBEAT_PERIOD_S
        )
        self._next_heartbeat_s = self._now_s() + period_s
        self._send_heartbeat_to(self.peers.heartbeat_recipients())

    def _send_heartbeat_to(self, peers: Iterable[InstanceRecord]) -> None:
        data = encode(self._make_heartbeat())
        for peer in peers:
            self._send_to(peer, PeerBeat.__name__, data)

    def _make_heartbeat(self) -> PeerBeat:
        self._last_sent_number += 1
        return PeerBeat(
            name=self._local_instance.name,
            incarnation=self._local_instance.incarnation,
            number=self._last_sent_number,
            usable=self._is_usable(),
            leaving=self._is_leaving(),
            active=self.is_active,
            load=round(self._load.used_capacity(self._now_s()), 3),
            config_version=self._config_version(),
        )

    def _make_report(
        self, changed_since_s: float = float("-inf")
    ) -> PeerReport:
        now_s = self._now_s()
        is_complete = changed_since_s == float("-inf")
        leaving = self._table.leaving_since(now_s - REPORT_LEAVING_S)
        return PeerReport(
            beat=self._make_heartbeat(),
            in_flight=pack_counts(self._placement.in_flight()),
            usage=self._rate_limiter.local_usage(now_s, changed_since_s),
            crashes=self._crash_tracker.recent_crashes(),
            missing=self._unreachable_peers(now_s),
            bound=pack_counts(self._placement.bound_requests()),
            shares=pack_shares(
                self._placement.region_shares() if is_complete else {}
            ),
            limits=self._limits.packed(now_s, self._table.servers),
            leaving=tuple(map(incarnation_hash, leaving)),
            demand=self._placement.rank_admission.reported_demand(now_s),
            capacity=self._placement.capacities.packed(
                now_s, self._table.servers if is_complete else ()
            ),
        )

    def _unreachable_peers(self, now_s: float) -> tuple[str, ...]:
        """Return the peers to report as missing; none in a small fleet."""
        if self.peers.is_small_fleet:
            return ()
        return self._unheard_peers(now_s)

    def _unheard_peers(self, now_s: float) -> tuple[str, ...]:
        """Return the serving peers without a recent report."""
        oldest_s = now_s - self._valid_s
        return tuple(
            peer.name
            for peer in self.peers.report_recipients
            if peer.name not in self._reports
            or self._reports[peer.name][0] < oldest_s
        )

    def _send_to(
        self, peer: InstanceRecord, message_type: str, data: bytes
    ) -> None:
        self._traffic.record(message_type, peer, len(data))
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
                self._handle_message(decode(data))
            except (WireError, OSError) as error:
                _log.warning("datagram dropped", extra={"reason": str(error)})
                eventlet.sleep(0)
            except Exception:
                _log.exception("handling a datagram failed")

    def _handle_message(self, message: object) -> None:
        match message:
            case PeerReport(beat=beat, crashes=crashes, missing=missing):
                self._crash_tracker.record_peer_crashes(crashes)
                if self._handle_heartbeat(beat, missing):
                    now_s = self._now_s()
                    self._reports[beat.name] = (now_s, message)
                    peer = self._directory.peer(beat.name)
                    if peer is not None:
                        self._peer_shares.record(now_s, peer, message.shares)
                        self._limits.record_peer(
                            now_s, message.limits, self._table.servers
                        )
                        for server in servers_of(
                            message.leaving, self._table.servers
                        ):
                            self._table.record_leaving(now_s, server)
                        self._placement.capacities.record(now_s, message)
                    self._placement.rank_admission.demand.record(
                        now_s, beat.name, message.demand, self._valid_s
                    )
                    self._rate_limiter.record_report(
                        now_s, beat.name, beat.incarnation, message.usage
                    )
            case PeerBeat():
                self._handle_heartbeat(message, ())
            case RateNotice(name=name, incarnation=incarnation):
                peer = self._directory.peer(name)
                # A later incarnation may not be known as registered yet.
                if peer is not None and incarnation >= peer.incarnation:
                    self.admission.handle_notice(message)
            case RateAnswer():
                self.admission.handle_reply(message)

    def _handle_heartbeat(
        self, beat: PeerBeat, missing: Iterable[str]
    ) -> bool:
        """Handle a heartbeat.

        :returns: whether it is new and its sender is registered.
        """
        # Incarnations are not ordered: the time of day may have jumped back.
        # The registration tells which one is current.
        incarnation, number = self._last_received_numbers.get(
            beat.name, (beat.incarnation, 0)
        )
        if beat.incarnation == incarnation and beat.number <= number:
            return False
        is_registered = self._directory.record_heartbeat(
            self._now_s(),
            beat.name,
            beat.incarnation,
            usable=beat.usable,
            leaving=beat.leaving,
            active=beat.active,
            load=beat.load,
        )
        if not is_registered:
            return False
        self._last_received_numbers[beat.name] = (
            beat.incarnation,
            beat.number,
        )
        self._on_config_version(beat.name, beat.config_version)
        members = self.peers.members
        is_new = self.peers.record_report(
            beat.name, active=beat.active, missing=missing
        )
        if self.peers.members != members:
            self._on_members()
        if is_new and self.is_active:
            # The peer does not have this instance's load and usage yet.
            self.send(beat.name, self._make_report())
        return True

    def _apply_reports(self) -> None:
        """Apply the recent reports to the server loads and the rates."""
        now_s = self._now_s()
        oldest_s = now_s - self._valid_s
        names = set(self._directory.names)
        self._placement.rank_admission.demand.set_instances(names)
        for name in [n for n in self._last_received_numbers if n not in names]:
            del self._last_received_numbers[name]
        for name in [n for n in self._reports if n not in names]:
            del self._reports[name]
        recent = [
            (peer.region, report)
            for name, (received_at_s, report) in self._reports.items()
            if received_at_s >= oldest_s
            and (peer := self._directory.peer(name)) is not None
        ]
        by_region = requests_by_region(recent, self._table.server_ids)
        self._placement.set_peer_requests(
            now_s, total_in_flight(by_region.values())
        )
        region = self._local_instance.region
        by_region[region] = add_requests(
            by_region.get(region),
            in_flight=self._placement.in_flight(),
            bound=self._placement.bound_requests(),
        )
        self._placement.set_peer_shares(self._peer_shares.recent(now_s))
        self._placement.set_region_requests(
            now_s,
            by_region,
            is_complete=len(recent) + 1
            >= MIN_REPORTING_SHARE * len(self.peers.members),
        )
        self._rate_limiter.refresh(now_s)
