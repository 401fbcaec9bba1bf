"""Builds the components of an entry instance and connects them."""

import functools
import secrets
import sys
import time
from random import Random

import eventlet
import logbook

from verbenad.forwarder import Forwarder, ForwarderSettings
from verbenad.held_bytes import HeldBytes
from verbenad.held_bytes_log import HeldBytesLog
from verbenad.http_server import HttpServer
from verbenad.http_server_limits import HttpServerLimits
from verbenad.json_lines_handler import JsonLinesHandler
from verbenad.line_writer import LineWriter
from verbenad.loop_timers import LoopTimers
from verbenad.memory_shares import divide_memory
from verbenad.metrics import Metrics
from verbenad.receive_windows import ReceiveWindows, head_windows
from verbenad.steering.admission_metrics import declare_admission_metrics
from verbenad.steering.byte_counts import ByteCounts
from verbenad.steering.caller_http_limits import (
    caller_connections,
    caller_http_limits,
)
from verbenad.steering.caller_lookup import CallerLookup
from verbenad.steering.config_exchange import ConfigExchange
from verbenad.steering.crash_tracker import CrashTracker
from verbenad.steering.endpoint_servers import (
    MAX_RELAY_CONNECTIONS,
    open_endpoint_servers,
)
from verbenad.steering.instance_gauges import declare_gauges
from verbenad.steering.peer_exchange import MIN_REPORT_PERIOD_S, PeerExchange
from verbenad.steering.peer_traffic import PeerTraffic
from verbenad.steering.permission_check import PermissionCheck
from verbenad.steering.placement_log import PlacementLog
from verbenad.steering.platform_client import PlatformClient
from verbenad.steering.platform_endpoints import PlatformEndpoints
from verbenad.steering.platform_names import PlatformNames
from verbenad.steering.platform_sync import PlatformSync
from verbenad.steering.relay_server import RelayServer
from verbenad.steering.request_explainer import RequestExplainer
from verbenad.steering.request_log import RequestLog
from verbenad.steering.request_runner import RequestRunner
from verbenad.steering.server_notices import ServerNotices
from verbenad.steering.server_pool import open_server_pool
from verbenad.steering.service_limits import ServiceLimits
from verbenad.steering.shutdown_plan import ShutdownPlan
from verbenad.steering.statement_recorder import StatementRecorder
from verbenad.steering.steering_gateway import SteeringGateway
from verbenad.steering.steering_settings import (
    SteeringSettings,
    parse_address,
)
from verbenad.steering.steering_state import SteeringState
from verbenad.steering.update_reader import UpdateReader
from verbenaworks.steering.bound_rates import bound_parts
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.competing_services import competing_services
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.fleet_retry_budget import FleetRetryBudget
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_load import InstanceLoad, instance_capacity
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.item_log import ItemLog
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.server_limits import ServerLimits
from verbenaworks.steering.server_pauses import ServerPauses
from verbenaworks.steering.server_senders import ServerSenders
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import ServiceTimes
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter

POOL_CLEANUP_PERIOD_S = 1.0
LOG_FLUSH_PERIOD_S = 0.5
CHECKPOINT_PERIOD_S = 1.0
SHARE_LOG_PERIOD_S = 1.0
HELD_LOG_PERIOD_S = 1.0
# The lease of the registration lasts this much longer than keys are accepted
# without contact to the store.
LEASE_MARGIN_S = 0.5
# Share of the longest permitted time that callers may cache lookup responses.
LOOKUP_TTL_SHARE = 0.4


class SteeringDaemon:
    """An entry instance.

    :param settings: checked process settings.
    :param platform: client of the platform's store.
    :param names: names on the platform's interfaces.
    """

    def __init__(
        self,
        *,
        settings: SteeringSettings,
        platform: PlatformClient,
        names: PlatformNames,
    ) -> None:
        self._settings = settings
        self._names = names
        self._timers = LoopTimers()
        self._random = Random(secrets.randbits(64))
        self._leaving = False
        self._shutdown = ShutdownPlan()
        self._line_writer = LineWriter(sys.stdout.fileno())
        JsonLinesHandler(
            self._line_writer, level=logbook.INFO
        ).push_application()
        self._log = logbook.Logger("verbenad")
        self._local_instance = InstanceRecord(
            name=settings.name,
            # Only compared between incarnations of one name.
            incarnation=time.time_ns() // 1_000_000,
            region=settings.region,
            failure_domain=settings.failure_domain,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            capacity=instance_capacity(
                settings.processor_share, settings.link_mbps
            ),
        )
        self._build_decisions()
        self._build_serving(platform)
        self._build_endpoints()

    def start(self) -> None:
        """Start all components and return at once."""
        every = self._timers.every
        every(POOL_CLEANUP_PERIOD_S, self._clean_up)
        every(LOG_FLUSH_PERIOD_S, self._line_writer.flush)
        every(CHECKPOINT_PERIOD_S, self._write_due_checkpoints)
        every(SHARE_LOG_PERIOD_S, self._placement_log.record)
        every(HELD_LOG_PERIOD_S, HeldBytesLog(self._held_bytes).record)
        self._relay_http_server.start()
        self._platform_sync.start()
        self._peer_exchange.start()
        self._caller_http_server.start()
        for endpoint_server in self._endpoint_servers:
            endpoint_server.start()
        self._log.info(
            "started",
            extra={
                "instance": self._local_instance.name,
                "incarnation": self._local_instance.incarnation,
                "failure_domain": self._local_instance.failure_domain,
            },
        )

    def reload(self, settings: SteeringSettings) -> None:
        """Apply settings that changed while the process runs."""
        if settings == self._settings:
            self._log.info("settings reloaded; nothing changed")
            return
        self._settings = settings
        self._state.freshness.set_revocation_time(settings.bounds.revoke_s)
        self._retry_budget.set_limits(
            ratio=settings.bounds.retry_ratio,
            slack=settings.bounds.retry_slack,
            window_s=settings.bounds.retry_window_s,
        )
        if self._state.config is not None:
            self._set_rank_admission(self._state.config)
        self._log.info("settings reloaded")

    def shut_down(self) -> bool:
        """Leave the directory and finish the running requests.

        New requests are served until callers have had time to look up other
        instances; after that they are refused.

        :returns: whether all running requests were finished.
        """
        self._shutdown = ShutdownPlan.starting_at(
            self._now_s(), self._settings.bounds.shutdown_s
        )
        self._log.info(
            "stopping",
            extra={"running": len(self._caller_http_server.running)},
        )
        self._leaving = True
        self._platform_sync.registration.deregister()
        self._peer_exchange.announce_now()
        self._caller_http_server.drain()
        eventlet.sleep(max(0.0, self._shutdown.refuse_from_s - self._now_s()))
        left_s = self._shutdown.finish_by_s - self._now_s()
        finished = self._caller_http_server.close(max(0.1, left_s))
        self._log.info("stopped", extra={"finished": finished})
        self._line_writer.flush()
        return finished

    def _now_s(self) -> float:
        # Unlike the monotonic clock, this one advances during a suspend.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _build_decisions(self) -> None:
        settings = self._settings
        bounds = settings.bounds
        self._table = ServerTable()
        self._directory = InstanceDirectory(self._local_instance)
        self._load = InstanceLoad(
            capacity=self._local_instance.capacity,
            link_mbps=settings.link_mbps,
        )
        self._senders = ServerSenders(settings.name, settings.region)
        self._server_limits = ServerLimits(senders=self._senders)
        self._server_pauses = ServerPauses(
            on_pause=lambda server, left_s: self._notices.paused(
                server, left_s
            )
        )
        self._rate_limiter = WorkspaceRateLimiter(
            instance=settings.name,
            incarnation=self._local_instance.incarnation,
            window_s=bounds.rate_window_s,
            period_s=MIN_REPORT_PERIOD_S,
        )
        self._rate_limiter.set_registered(False)
        self._retry_budget = FleetRetryBudget(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._placement = Placement(
            region=settings.region,
            failure_domain=settings.failure_domain,
            table=self._table,
            times=ServiceTimes(),
            cold_start_limiter=ColdStartLimiter(self._senders),
            limits=self._server_limits,
            pauses=self._server_pauses,
            random=self._random,
            learned_capacity=settings.features.learned_capacity,
            machine_speed=settings.features.machine_speed,
        )
        self._crash_tracker = CrashTracker(
            f"{self._local_instance.name}/{self._local_instance.incarnation}",
            self._now_s,
        )
        self._state = SteeringState(
            table=self._table,
            directory=self._directory,
            freshness=ConfigFreshness(bounds.revoke_s),
            now_s=self._now_s,
            on_config=self._on_config,
            on_registrations=self._on_registrations,
            on_previous_incarnation=self._rate_limiter.record_restart,
            on_checkpoint=self._rate_limiter.set_checkpoint,
            local_instance=self._local_instance,
            call_later=self._timers.after,
        )

    def _build_serving(self, platform: PlatformClient) -> None:
        settings = self._settings
        self._metrics = Metrics()
        byte_counts = ByteCounts(
            local_instance=self._local_instance, metrics=self._metrics
        )
        platform.on_call = byte_counts.record_store_call
        item_log = ItemLog()
        self._update_reader = UpdateReader(
            local_instance=self._local_instance,
            platform=platform,
            now_s=self._now_s,
            random=self._random,
            on_relay_call=byte_counts.record_relay_call,
        )
        relay_server = RelayServer(
            item_log=item_log,
            freshness=self._state.freshness,
            document=lambda: self._state.document,
            now_s=self._now_s,
        )
        host, port_number = parse_address(
            "peer_address", settings.peer_address
        )
        # Peers use one port number for both datagrams and connections.
        self._relay_http_server = HttpServer(
            relay_server,
            host=host,
            port=port_number,
            limits=HttpServerLimits(
                max_connections=MAX_RELAY_CONNECTIONS,
                disconnect_check_period_s=None,
            ),
            receive_windows=head_windows(),
        )
        self._platform_sync = PlatformSync(
            platform=platform,
            item_log=item_log,
            update_reader=self._update_reader,
            relay_server=relay_server,
            state=self._state,
            local_instance=self._local_instance,
            lease_s=self._state.freshness.max_age_s + LEASE_MARGIN_S,
            on_registration=self._rate_limiter.set_registered,
            on_restored=lambda: self._config_exchange.hold(),
            now_s=self._now_s,
            random=self._random,
        )
        self._peer_exchange = PeerExchange(
            local_instance=self._local_instance,
            directory=self._directory,
            table=self._table,
            placement=self._placement,
            limits=self._server_limits,
            rate_limiter=self._rate_limiter,
            crash_tracker=self._crash_tracker,
            load=self._load,
            traffic=PeerTraffic(
                local_instance=self._local_instance, metrics=self._metrics
            ),
            is_usable=self._is_usable,
            is_leaving=lambda: self._leaving,
            config_version=lambda: self._config_exchange.version,
            on_config_version=lambda name, version: (
                self._config_exchange.record_peer(name, version)
            ),
            on_members=self._on_members,
            now_s=self._now_s,
        )
        self._config_exchange = ConfigExchange(
            state=self._state,
            platform=platform,
            directory=self._directory,
            peers=lambda: [
                peer.name
                for peer in self._peer_exchange.peers.report_recipients
            ],
            now_s=self._now_s,
            call_later=self._timers.after,
            on_relay_call=byte_counts.record_relay_call,
        )
        self._notices = ServerNotices(
            metrics=self._metrics,
            announce=self._peer_exchange.announce_servers,
            call_later=self._timers.after,
        )
        self._server_limits.connect(
            is_connected=self._is_connected,
            on_change=self._notices.limit_changed,
        )
        shares = divide_memory(
            settings.memory_mb, caller_connections(settings.max_descriptors)
        )
        self._max_connections = shares.connections
        self._held_bytes = HeldBytes(shares.held_bytes)
        receive_windows = ReceiveWindows(
            narrow_bytes=shares.narrow_bytes, max_wide=shares.max_wide
        )
        self._pool = open_server_pool(self._now_s, receive_windows)
        self._service_limits = ServiceLimits(
            state=self._state, directory=self._directory
        )
        runner = RequestRunner(
            placement=self._placement,
            forwarder=Forwarder(
                self._pool,
                ForwarderSettings(
                    names=self._names.fields,
                    accept_close_delimited_responses=True,
                ),
                now_s=self._now_s,
            ),
            retry_budget=self._retry_budget,
            crash_tracker=self._crash_tracker,
            permission_check=PermissionCheck(
                state=self._state,
                key_field=self._names.fields.key.lower(),
                now_s=self._now_s,
            ),
            recorder=StatementRecorder(
                load_of=self._placement.load_of,
                table=self._table,
                limits=self._server_limits,
                pauses=self._server_pauses,
                on_leaving=self._notices.leaving,
            ),
            connection_limit=self._service_limits.connections,
            cold_requests_per_s=self._service_limits.cold_requests_per_s,
            now_s=self._now_s,
            byte_counts=byte_counts,
        )
        self._placement_log = PlacementLog(
            placement=self._placement,
            table=self._table,
            metrics=self._metrics,
            now_s=self._now_s,
        )
        self._request_log = RequestLog(self._line_writer, self._metrics)
        gateway = SteeringGateway(
            names=self._names.fields,
            affinity_cookie=self._names.affinity_cookie,
            state=self._state,
            rate_limiter=self._rate_limiter,
            admit_to_rate=self._peer_exchange.admission.admit,
            runner=runner,
            crash_tracker=self._crash_tracker,
            shutdown=lambda: self._shutdown,
            record_arrival=self._peer_exchange.record_request,
            record_body=self._peer_exchange.record_body,
            log_request=self._request_log.record,
            now_s=self._now_s,
            random=self._random,
        )
        host, port_number = parse_address(
            "caller_address", settings.caller_address
        )
        self._caller_http_server = HttpServer(
            gateway,
            held_bytes=self._held_bytes,
            receive_windows=receive_windows,
            host=host,
            port=port_number,
            limits=caller_http_limits(None, self._max_connections),
            pipelined=True,
        )

    def _build_endpoints(self) -> None:
        settings = self._settings
        declare_admission_metrics(
            self._metrics, self._placement.rank_admission
        )
        declare_gauges(
            self._metrics,
            config=lambda: self._state.config,
            config_age_s=lambda: self._state.freshness.age_s(self._now_s()),
            running_requests=lambda: len(self._caller_http_server.running),
            backend_servers=lambda: len(self._table),
            is_registered=lambda: (
                self._platform_sync.registration.is_registered
            ),
            dropped_log_lines=lambda: self._line_writer.dropped_lines,
            connections_in_use=self._pool.in_use_by_target,
            oldest_connection_use_s=self._pool.oldest_use_by_target_s,
            held_bytes=self._held_bytes,
        )
        lookup = CallerLookup(
            state=self._state,
            directory=self._directory,
            load=self._load,
            is_usable=self._is_usable,
            is_leaving=lambda: self._leaving,
            now_s=self._now_s,
        )
        make_endpoints = functools.partial(
            PlatformEndpoints,
            names=self._names.endpoints,
            lookup=lookup.addresses,
            lookup_ttl_s=LOOKUP_TTL_SHARE * settings.bounds.lookup_ttl_s,
            not_ready_reason=self._not_ready_reason,
            metrics=self._metrics.render,
        )
        explainer = RequestExplainer(
            settings=settings,
            state=self._state,
            rate_limiter=self._rate_limiter,
            placement=self._placement,
            shutdown=lambda: self._shutdown,
            cold_requests_per_s=self._service_limits.cold_requests_per_s,
            now_s=self._now_s,
        )
        self._endpoint_servers = open_endpoint_servers(
            settings,
            for_callers=make_endpoints(),
            for_operators=make_endpoints(explain=explainer.respond),
        )

    def _on_config(self, config: SteeringConfig) -> None:
        self._rate_limiter.set_workspaces(self._now_s(), config.workspaces)
        self._placement.set_bound_parts(
            bound_parts(config.workspaces.values())
        )
        self._set_rank_admission(config)
        self._caller_http_server.limits = caller_http_limits(
            config, self._max_connections
        )

    def _set_rank_admission(self, config: SteeringConfig) -> None:
        services: frozenset[str] = frozenset()
        if self._settings.features.rank_admission:
            services = competing_services(config)
        # Workspaces that use their rates alike are alike in a shortage.
        self._placement.rank_admission.set_services(
            services,
            {
                workspace.name: workspace.rate_per_s
                for workspace in config.workspaces.values()
                if workspace.rate_per_s > 0
            },
        )

    def _on_registrations(self) -> None:
        self._peer_exchange.set_registered(self._directory.peers)
        self._update_reader.set_instances(self._directory.peers)
        self._log.info(
            "instances changed",
            extra={"instances": list(self._directory.names)},
        )
        self._on_members()

    def _on_members(self) -> None:
        names = self._peer_exchange.peers.members
        self._senders.set_instances(
            {
                peer.name: peer.region
                for peer in self._directory.peers
                if peer.name in names
            },
            is_sender=self._peer_exchange.is_active,
        )
        self._retry_budget.set_instances(len(names))
        self._rate_limiter.set_report_period(
            self._peer_exchange.remote_report_period_s
        )
        self._rate_limiter.set_members(self._now_s(), names)
        self._log.info("members changed", extra={"members": len(names)})

    def _clean_up(self) -> None:
        self._pool.close_expired()
        self._placement.forget_removed_servers()
        self._server_limits.forget(self._now_s())
        self._server_pauses.forget(self._now_s())

    def _write_due_checkpoints(self) -> None:
        for name, checkpoint in self._rate_limiter.due_checkpoints(
            self._now_s()
        ).items():
            eventlet.spawn_n(
                self._platform_sync.write_checkpoint, name, checkpoint
            )

    def _is_usable(self) -> bool:
        state = self._state
        return (
            not self._leaving
            and state.config is not None
            and state.freshness.is_valid(self._now_s())
        )

    def _is_connected(self) -> bool:
        """Whether the others count on this instance."""
        return (
            self._state.freshness.is_valid(self._now_s())
            or self._peer_exchange.hears_most_peers
        )

    def _not_ready_reason(self) -> str | None:
        if self._leaving:
            return "the instance is shutting down"
        if self._state.config is None:
            return "no configuration is known yet"
        return None
