"""One entry instance on a platform: its parts and how they are connected."""

import secrets
import sys
import time
from dataclasses import dataclass
from random import Random

import eventlet
import logbook

from verbenad.field_names import FieldNames
from verbenad.forwarder import Forwarder, ForwarderSettings
from verbenad.http_server import HttpServer
from verbenad.http_server_limits import HttpServerLimits
from verbenad.json_lines_handler import JsonLinesHandler
from verbenad.line_writer import LineWriter
from verbenad.loop_timers import LoopTimers
from verbenad.metrics import Metrics
from verbenad.request_body import BodyLimits
from verbenad.request_head import HeadLimits
from verbenad.steering.crash_notes import CrashNotes
from verbenad.steering.news_sources import NewsSources
from verbenad.steering.peer_exchange import PERIOD_S, PeerExchange
from verbenad.steering.platform_link import PlatformLink
from verbenad.steering.platform_pages import PageNames, PlatformPages
from verbenad.steering.platform_port import PlatformPort
from verbenad.steering.relay_server import RelayServer
from verbenad.steering.request_log import RequestLog
from verbenad.steering.request_runner import RequestRunner
from verbenad.steering.steering_gateway import SteeringGateway
from verbenad.steering.steering_settings import (
    SteeringSettings,
    check_address,
)
from verbenad.steering.steering_state import SteeringState
from verbenad.upstream_pool import PoolSettings, UpstreamPool
from verbenaworks.steering.cold_start_limiter import ColdStartLimiter
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.fleet_retry_budget import FleetRetryBudget
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.instance_load import InstanceLoad, instance_capacity
from verbenaworks.steering.instance_record import InstanceRecord
from verbenaworks.steering.item_log import ItemLog
from verbenaworks.steering.placement import Placement
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.service_times import ServiceTimes
from verbenaworks.steering.steering_config import SteeringConfig
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter

POOL_PERIOD_S = 1.0
FLUSH_PERIOD_S = 0.5
MARK_PERIOD_S = 1.0
# Connections to backend servers: several round trips between regions.
CONNECT_S = 0.3
# A server that acknowledges nothing for this long has lost the connection.
SILENT_S = 1.5
IDLE_S = 5.0
# Servers may drop idle connections after some tenths of a second; a request
# that must not be repeated is lost with one.
ORDER_IDLE_S = 0.25
# The registration outlives the time for which keys are accepted without the
# store by this much.
LEASE_MARGIN_S = 0.5
# Parts of the time to shut down: callers still come, callers are refused,
# and the rest for what runs.
SERVE_SHARE = 0.4
FINISH_SHARE = 0.93
# Callers keep a lookup answer for this share of the longest time.
LOOKUP_TTL_SHARE = 0.4
# Descriptors that are not for callers: files, the store, peers, servers.
OTHER_DESCRIPTORS = 900
MIN_CALLER_CONNECTIONS = 100
PAGE_CONNECTIONS = 200
RELAY_CONNECTIONS = 200
# Connections to one server that each instance may open, beside its part.
MIN_CONNECTIONS = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformNames:
    """Names that the platform gives to fields and pages.

    :param object_cookie: cookie that names the object of a request.
    """

    fields: FieldNames
    pages: PageNames
    object_cookie: str


class SteeringDaemon:
    """An entry instance.

    :param settings: checked process settings.
    :param port: calls to the platform.
    :param names: names on the platform's interfaces.
    """

    def __init__(
        self,
        *,
        settings: SteeringSettings,
        port: PlatformPort,
        names: PlatformNames,
    ) -> None:
        self._settings = settings
        self._names = names
        self._timers = LoopTimers()
        self._random = Random(secrets.randbits(64))
        self._leaving = False
        self._refuses_new = False
        self._lines = LineWriter(sys.stdout.fileno())
        JsonLinesHandler(self._lines, level=logbook.INFO).push_application()
        self._log = logbook.Logger("verbenad")
        self._own = InstanceRecord(
            name=settings.name,
            # Compared only between runs of one name.
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
        self._build_serving(port)
        self._build_pages()

    def start(self) -> None:
        """Start all parts; returns at once."""
        every = self._timers.every
        every(POOL_PERIOD_S, self._tidy)
        every(FLUSH_PERIOD_S, self._lines.flush)
        every(MARK_PERIOD_S, self._mark_workspaces)
        self._relay_front.start()
        self._link.start()
        self._peers.start()
        self._front.start()
        for page_front in self._page_fronts:
            page_front.start()
        self._log.info(
            "started",
            extra={
                "instance": self._own.name,
                "incarnation": self._own.incarnation,
                "failure_domain": self._own.failure_domain,
            },
        )

    def reload(self, settings: SteeringSettings) -> None:
        """Take settings that changed while the process runs."""
        if settings == self._settings:
            self._log.info("settings read again, nothing changed")
            return
        self._settings = settings
        self._state.confirmation.set_revocation_time(settings.bounds.revoke_s)
        self._retries.set_limits(
            ratio=settings.bounds.retry_ratio,
            slack=settings.bounds.retry_slack,
            window_s=settings.bounds.retry_window_s,
        )
        self._log.info("settings changed")

    def shut_down(self) -> bool:
        """Leave the directory and finish all requests; return whether it did.

        Callers that still come are served until they have had time to look
        up other instances, then refused.
        """
        total_s = self._settings.bounds.shutdown_s
        started_s = self._now_s()
        self._log.info("stopping", extra={"running": len(self._front.running)})
        self._leaving = True
        self._link.withdraw()
        self._peers.tell_now()
        self._front.drain()
        eventlet.sleep(SERVE_SHARE * total_s)
        self._refuses_new = True
        left_s = FINISH_SHARE * total_s - (self._now_s() - started_s)
        finished = self._front.close(max(0.1, left_s))
        self._log.info("stopped", extra={"finished": finished})
        self._lines.flush()
        return finished

    def _now_s(self) -> float:
        # Goes on while the machine is suspended, unlike the monotonic clock.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _build_decisions(self) -> None:
        settings = self._settings
        bounds = settings.bounds
        self._table = ServerTable()
        self._directory = InstanceDirectory(self._own)
        self._load = InstanceLoad(
            capacity=self._own.capacity, link_mbps=settings.link_mbps
        )
        self._colds = ColdStartLimiter(settings.name)
        self._rates = WorkspaceRateLimiter(
            instance=settings.name,
            incarnation=self._own.incarnation,
            window_s=bounds.rate_window_s,
            period_s=PERIOD_S,
        )
        self._retries = FleetRetryBudget(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._placement = Placement(
            region=settings.region,
            failure_domain=settings.failure_domain,
            table=self._table,
            times=ServiceTimes(),
            cold_start_limiter=self._colds,
            random=self._random,
        )
        self._crashes = CrashNotes(
            f"{self._own.name}/{self._own.incarnation}", self._now_s
        )
        self._state = SteeringState(
            table=self._table,
            directory=self._directory,
            confirmation=ConfigFreshness(bounds.revoke_s),
            now_s=self._now_s,
            on_config=self._on_config,
            on_members=self._on_registered,
            on_predecessor=self._rates.record_restart,
            on_mark=self._rates.set_checkpoint,
            own=self._own,
            after=self._timers.after,
        )

    def _build_serving(self, port: PlatformPort) -> None:
        settings = self._settings
        items = ItemLog()
        self._sources = NewsSources(
            own=self._own,
            port=port,
            now_s=self._now_s,
            random=self._random,
        )
        relay = RelayServer(
            log=items,
            confirmation=self._state.confirmation,
            now_s=self._now_s,
        )
        host, port_number = check_address(
            "peer_address", settings.peer_address
        )
        # Datagrams and connections between instances use one port number.
        self._relay_front = HttpServer(
            relay,
            host=host,
            port=port_number,
            limits=HttpServerLimits(
                max_connections=RELAY_CONNECTIONS,
                disconnect_check_period_s=None,
            ),
        )
        self._link = PlatformLink(
            port=port,
            log=items,
            sources=self._sources,
            relay=relay,
            state=self._state,
            record=self._own,
            lease_s=self._state.confirmation.max_age_s + LEASE_MARGIN_S,
            now_s=self._now_s,
            random=self._random,
        )
        self._peers = PeerExchange(
            own=self._own,
            directory=self._directory,
            table=self._table,
            placement=self._placement,
            rates=self._rates,
            crashes=self._crashes,
            load=self._load,
            is_usable=self._is_usable,
            is_leaving=lambda: self._leaving,
            on_members=self._on_members,
            now_s=self._now_s,
        )
        self._pool = UpstreamPool(
            PoolSettings(
                connect_timeout_s=CONNECT_S,
                idle_timeout_s=IDLE_S,
                non_idempotent_max_idle_s=ORDER_IDLE_S,
                peer_timeout_s=SILENT_S,
            ),
            now_s=self._now_s,
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
            retries=self._retries,
            crashes=self._crashes,
            connection_limit=self._connection_limit,
            cold_per_s=self._cold_per_s,
            now_s=self._now_s,
        )
        self._metrics = Metrics()
        self._requests = RequestLog(self._lines, self._metrics)
        gateway = SteeringGateway(
            names=self._names.fields,
            object_cookie=self._names.object_cookie,
            state=self._state,
            rates=self._rates,
            take_rate=self._peers.desk.take,
            runner=runner,
            crashes=self._crashes,
            refuses_new=lambda: self._refuses_new,
            served=self._peers.served,
            record=self._requests.record,
            now_s=self._now_s,
            random=self._random,
        )
        host, port_number = check_address(
            "caller_address", settings.caller_address
        )
        self._front = HttpServer(
            gateway,
            host=host,
            port=port_number,
            limits=self._caller_limits(None),
            pipelined=True,
        )

    def _build_pages(self) -> None:
        settings = self._settings
        self._declare_gauges()
        pages = PlatformPages(
            names=self._names.pages,
            lookup=self._lookup,
            lookup_ttl_s=LOOKUP_TTL_SHARE * settings.bounds.lookup_ttl_s,
            why_not_ready=self._why_not_ready,
            metrics=self._metrics.render,
        )
        self._page_fronts = []
        for address in (
            settings.ready_address,
            settings.lookup_address,
            settings.metrics_address,
        ):
            host, port = check_address("address", address)
            self._page_fronts.append(
                HttpServer(
                    pages,
                    host=host,
                    port=port,
                    limits=HttpServerLimits(
                        max_connections=PAGE_CONNECTIONS,
                        disconnect_check_period_s=None,
                    ),
                )
            )

    def _declare_gauges(self) -> None:
        gauge = self._metrics.gauge_source
        gauge(
            "verbenad_config_version",
            "Version of the operator's document in force.",
            lambda: float(
                self._state.config.version if self._state.config else 0
            ),
        )
        gauge(
            "verbenad_config_age_seconds",
            "Age of the last proof that the version is in force.",
            lambda: min(1e6, self._state.confirmation.age_s(self._now_s())),
        )
        gauge(
            "verbenad_requests_running",
            "Connections of callers with a request in progress.",
            lambda: float(len(self._front.running)),
        )
        gauge(
            "verbenad_backend_servers",
            "Backend servers that the platform lists.",
            lambda: float(len(self._table)),
        )
        gauge(
            "verbenad_log_lines_dropped_total",
            "Log lines lost because standard output stalled.",
            lambda: float(self._lines.dropped_lines),
        )

    def _on_config(self, config: SteeringConfig) -> None:
        self._rates.set_workspaces(self._now_s(), config.workspaces)
        self._front.limits = self._caller_limits(config)

    def _on_registered(self) -> None:
        self._peers.set_registered(self._directory.peers)
        self._sources.set_instances(self._directory.peers)
        self._log.info(
            "instances changed",
            extra={"instances": list(self._directory.names)},
        )
        self._on_members()

    def _on_members(self) -> None:
        names = self._peers.peers.members
        self._colds.set_instances(names)
        self._retries.set_instances(len(names))
        self._rates.set_report_period(self._peers.period_s)
        self._rates.set_members(self._now_s(), names)
        self._log.info("members changed", extra={"members": len(names)})

    def _tidy(self) -> None:
        self._pool.close_expired()
        self._placement.forget_removed_servers(self._table.server_ids)

    def _mark_workspaces(self) -> None:
        for name, mark in self._rates.due_checkpoints(self._now_s()).items():
            eventlet.spawn_n(self._link.write_checkpoint, name, mark)

    def _is_usable(self) -> bool:
        state = self._state
        return (
            not self._leaving
            and state.config is not None
            and state.confirmation.is_valid(self._now_s())
        )

    def _why_not_ready(self) -> str | None:
        if self._leaving:
            return "the instance is shutting down"
        if self._state.config is None:
            return "no configuration is known yet"
        return None

    def _lookup(self, host: str, region: str) -> list[str] | None:
        config = self._state.config
        if config is None:
            return None
        homes: frozenset[str] = frozenset()
        for route in config.routes_of(host):
            homes |= route.home_regions
        return self._directory.addresses(
            self._now_s(),
            region=region,
            home_regions=homes,
            own_usable=self._is_usable(),
            own_leaving=self._leaving,
            own_load=self._load.used_capacity(self._now_s()),
        )

    def _connection_limit(self, service: str) -> int:
        config = self._state.config
        spec = config.services.get(service) if config else None
        if spec is None:
            return MIN_CONNECTIONS
        part = spec.connection_limit // len(self._directory.names)
        return max(MIN_CONNECTIONS, part)

    def _cold_per_s(self, service: str) -> float:
        config = self._state.config
        spec = config.services.get(service) if config else None
        return spec.cold_requests_per_s if spec else 1.0

    def _caller_limits(
        self, config: SteeringConfig | None
    ) -> HttpServerLimits:
        connections = max(
            MIN_CALLER_CONNECTIONS,
            self._settings.descriptors - OTHER_DESCRIPTORS,
        )
        if config is None:
            return HttpServerLimits(max_connections=connections)
        limits = config.limits
        return HttpServerLimits(
            max_connections=connections,
            idle_timeout_s=limits.idle_timeout_s,
            head_timeout_s=limits.header_timeout_s,
            head=HeadLimits(
                line_bytes=limits.max_header_bytes,
                block_bytes=limits.max_header_bytes,
            ),
            body=BodyLimits(body_bytes=limits.max_body_bytes),
        )
