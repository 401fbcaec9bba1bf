"""Builds the parts of an entry instance and connects them."""

import secrets
import sys
import time
from dataclasses import replace
from random import Random

import eventlet
import logbook

from verbenad.admin_api import AdminApi
from verbenad.admin_server import AdminServer
from verbenad.agreement_loop import AgreementLoop
from verbenad.authentication import recheck_key
from verbenad.budget_loop import BudgetLoop
from verbenad.bus import Bus
from verbenad.call import Call
from verbenad.call_runner import CallRunner
from verbenad.crash_reports import CrashReports
from verbenad.daemon_settings import DaemonSettings
from verbenad.decision_log import DecisionLog
from verbenad.edit_port import EditPort, config_bytes
from verbenad.fleet import Fleet
from verbenad.forwarder import Forwarder, ForwarderSettings
from verbenad.gateway import Gateway
from verbenad.held_bytes import HeldBytes
from verbenad.held_bytes_gauges import declare_held_bytes
from verbenad.held_bytes_log import HeldBytesLog
from verbenad.http_server import HttpServer
from verbenad.http_server_limits import HttpServerLimits
from verbenad.json_lines_handler import JsonLinesHandler
from verbenad.line_writer import LineWriter
from verbenad.link_limiter import LinkLimiter
from verbenad.link_usage import LinkUsage
from verbenad.lookup_page import LookupPage
from verbenad.lookup_table import LookupTable
from verbenad.loop_timers import LoopTimers
from verbenad.memory_shares import divide_memory, machine_memory_mb
from verbenad.metrics import Metrics
from verbenad.platform_list import PlatformList
from verbenad.rate_limiter import RateLimiter
from verbenad.receive_windows import ReceiveWindows
from verbenad.request_body import BodyLimits
from verbenad.request_head import HeadLimits
from verbenad.run_claims import GENERATION_RETRY_INTERVAL_S, RunClaims
from verbenad.run_guard import RunGuard
from verbenad.service_pages import ServicePages
from verbenad.service_scheduler import DEMAND_PERIOD_S, ServiceScheduler
from verbenad.shift_loop import PERIOD_S as SHIFT_PERIOD_S
from verbenad.shift_loop import ShiftLoop
from verbenad.store_claims import StoreClaims
from verbenad.store_client import StoreClient
from verbenad.target_prober import TICK_S as PROBER_TICK_S
from verbenad.target_prober import TargetProber
from verbenad.upstream_pool import PoolSettings, UpstreamPool
from verbenaworks.admin_messages import InstanceStatus
from verbenaworks.agreed_state import AgreedState
from verbenaworks.agreement import TICK_S, Agreement, AgreementSettings
from verbenaworks.compiled_config import CompiledConfig, compile_config
from verbenaworks.config_document import ConfigDocument
from verbenaworks.control_record import SHARD_COUNT, InstanceId
from verbenaworks.targets_by_distance import Location

PLATFORM_LIST_PERIOD_S = 1.0
POOL_CLEANUP_PERIOD_S = 1.0
REPORT_PERIOD_S = 0.5
FLUSH_PERIOD_S = 0.5
HELD_LOG_PERIOD_S = 1.0
# At shutdown, the longest wait for the messages that hand over duties. They
# only spare other instances a timeout.
MAX_HANDOVER_WAIT_S = 2.0


class Daemon:
    """An entry instance.

    :param settings: checked process settings.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._timers = LoopTimers()
        self._random = Random(secrets.randbits(64))
        # The start time gives a restarted instance a higher incarnation.
        # Incarnations are compared only between processes of one name.
        self._instance = InstanceId(
            name=settings.name, incarnation=time.time_ns() // 1_000_000
        )
        self._document = ConfigDocument()
        self._config: CompiledConfig | None = None
        self._is_leaving = False
        self.metrics = Metrics()
        self._refusals = self.metrics.counter(
            "verbenad_refusals_total", "Refusals by code.", ("code",)
        )
        self._log_writer = LineWriter(sys.stdout.fileno())
        self._decision_log = DecisionLog(self._log_writer)
        # Green threads would not see a handler of a single context.
        JsonLinesHandler(
            self._log_writer,
            level=logbook.lookup_level(settings.log_level.upper()),
        ).push_application()
        self._build_control()
        self._build_serving()
        self._declare_gauges()
        self._declare_link_metrics()
        self._declare_prober_metrics()

    def start(self) -> None:
        """Start all parts; returns at once."""
        eventlet.spawn_n(self._bus.serve)
        every = self._timers.every
        every(TICK_S, self._agreement_loop.tick)
        self._budget_loop.start()
        every(DEMAND_PERIOD_S, self._scheduler.update_demand)
        every(POOL_CLEANUP_PERIOD_S, self._pool.close_expired)
        every(GENERATION_RETRY_INTERVAL_S, self._claims.query_generations)
        every(PLATFORM_LIST_PERIOD_S, self._read_platform_list)
        every(PROBER_TICK_S, self._prober.tick)
        every(SHIFT_PERIOD_S, self._shift_loop.tick)
        every(REPORT_PERIOD_S, self._report_self)
        every(FLUSH_PERIOD_S, self._log_writer.flush)
        every(HELD_LOG_PERIOD_S, HeldBytesLog(self._held_bytes).record)
        self._fleet.start(self._timers)
        self._admin.start()
        self._http_server.start()

    def shut_down(self, limit_s: float | None = None) -> bool:
        """Leave the fleet; return whether all requests finished in time.

        :param limit_s: timeout that replaces the configured one.
        """
        self._is_leaving = True
        self._fleet.leave()
        config = self._config
        if limit_s is None:
            limit_s = config.shutdown_limit_s if config else 0.0
        end_s = self._now_s() + limit_s
        # Callers may cache lookup answers that name this instance for this
        # long, so the instance goes on serving meanwhile.
        eventlet.sleep(min(config.lookup_ttl_s if config else 0.0, limit_s))
        finished = self._http_server.close(max(0.0, end_s - self._now_s()))
        self._hand_over()
        return finished

    def abort(self) -> None:
        """Abort all requests in progress."""
        self._http_server.abort()

    def _build_control(self) -> None:
        settings = self._settings
        self._now_s = self._timers.now_s
        self._bus = Bus(settings.name, settings.bus_address, self._now_s)
        self._store = StoreClient(settings.store_url)
        self._platform_list = PlatformList(settings.instances_url)
        self._agreement = Agreement(
            AgreementSettings(
                instance=self._instance,
                region=settings.region,
                failure_domain=settings.failure_domain,
                initial_config=config_bytes(ConfigDocument()),
            ),
            self._now_s(),
            self._random,
        )
        self._fleet = Fleet(
            settings=settings,
            instance=self._instance,
            agreement=self._agreement,
            bus=self._bus,
            now_s=self._now_s,
            random=self._random,
            on_change=self._on_members_changed,
        )
        self._edit_port = EditPort(
            agreement=self._agreement,
            bus=self._bus,
            now_s=self._now_s,
            address_of=self._fleet.address_of,
            document=lambda: self._document,
            status=self._status,
        )
        self._agreement_loop = AgreementLoop(
            agreement=self._agreement,
            bus=self._bus,
            store=self._store,
            now_s=self._now_s,
            address_of=self._fleet.address_of,
            on_state=self._on_state,
            on_edit=self._edit_port.on_outcome,
        )
        self._edit_port.attach(self._agreement_loop)
        self._budget_loop = BudgetLoop(
            instance=self._instance,
            agreement=self._agreement,
            bus=self._bus,
            directory=self._fleet,
            timers=self._timers,
            on_granted=self._on_granted,
        )
        self._claims = RunClaims(
            bus=self._bus,
            directory=self._fleet,
            now_s=self._now_s,
            shards=SHARD_COUNT,
        )
        self._crashes = CrashReports(
            bus=self._bus, directory=self._fleet, now_s=self._now_s
        )
        self._admin = AdminServer(
            AdminApi(self._edit_port, time.time, settings.bootstrap_token),
            settings.admin_address,
        )

    def _build_serving(self) -> None:
        settings = self._settings
        self._rate_limiter = RateLimiter(
            instance=settings.name, loop=self._budget_loop, now_s=self._now_s
        )
        self._link_limiter = LinkLimiter(
            instance=settings.name,
            region=settings.region,
            loop=self._budget_loop,
            now_s=self._now_s,
        )
        self._scheduler = ServiceScheduler(
            place=Location(
                instance=settings.name,
                region=settings.region,
                failure_domain=settings.failure_domain,
                domain_delay_s=settings.domain_delay_s,
                region_delay_s=settings.region_delay_s,
            ),
            loop=self._budget_loop,
            now_s=self._now_s,
            random=self._random,
            links=self._link_limiter,
        )
        shares = divide_memory(
            settings.memory_mb or machine_memory_mb(), settings.max_connections
        )
        self._held_bytes = HeldBytes(shares.held_bytes)
        receive_windows = ReceiveWindows(
            narrow_bytes=shares.narrow_bytes, max_wide=shares.max_wide
        )
        self._pool = UpstreamPool(
            PoolSettings(source_ip=settings.target_source_ip),
            now_s=self._now_s,
            receive_windows=receive_windows,
        )
        forwarder = Forwarder(
            self._pool,
            ForwarderSettings(via_name=settings.name),
            now_s=self._now_s,
        )
        self._prober = TargetProber(
            instance=self._instance,
            bus=self._bus,
            choice=self._scheduler.choice,
            forwarder=forwarder,
            connection_limit=self._scheduler.connection_limit,
            now_s=self._now_s,
            random=self._random,
            on_change=self._scheduler.serve_one,
        )
        runner = CallRunner(
            dispatchers=self._scheduler.dispatchers,
            forwarder=forwarder,
            retries=self._scheduler.retry_budget,
            crashes=self._crashes,
            log=self._decision_log,
            usual_service_time_s=self._scheduler.usual_service_time_s,
            connection_limit=self._scheduler.connection_limit,
            avoid=self._scheduler.avoid,
            check=self._recheck_key,
            now_s=self._now_s,
            links=self._link_limiter,
        )
        self._lookup_table = LookupTable()
        self._gateway = Gateway(
            config=lambda: self._config,
            may_use_keys=self._may_use_keys,
            rate_limiter=self._rate_limiter,
            guard=RunGuard(
                claims=self._claims,
                store_claims=StoreClaims(self._store, self._now_s),
                limiter=self._rate_limiter,
            ),
            runner=runner,
            lookup=LookupPage(
                table=self._lookup_table,
                claims=self._claims,
                is_usable=self._fleet.is_usable,
            ),
            pages=ServicePages(
                not_ready_reason=self._not_ready_reason,
                metrics=self.metrics.render,
            ),
            now_s=self._now_s,
            on_refusal=lambda code: self._refusals.add((code,)),
        )
        self._shift_loop = ShiftLoop(
            agreement=self._agreement,
            fleet=self._fleet,
            scheduler=self._scheduler,
            table=self._lookup_table,
            edits=self._edit_port,
            config=lambda: self._config,
            now_s=self._now_s,
            usage=LinkUsage(
                loop=self._budget_loop,
                bus=self._bus,
                directory=self._fleet,
                now_s=self._now_s,
            ),
            bus=self._bus,
        )
        host, _, port = settings.caller_address.rpartition(":")
        self._http_server = HttpServer(
            self._gateway,
            host=host,
            port=int(port),
            limits=_http_server_limits(settings, shares.connections),
            held_bytes=self._held_bytes,
            receive_windows=receive_windows,
        )

    def _declare_gauges(self) -> None:
        gauge = self.metrics.gauge_source
        gauge(
            "verbenad_config_revision",
            "Configuration revision in force.",
            lambda: float(self._document.config_revision),
        )
        gauge(
            "verbenad_fresh",
            "1 while the configuration is confirmed.",
            lambda: float(self._agreement.is_fresh(self._now_s())),
        )
        gauge(
            "verbenad_requests_running",
            "Requests of callers in progress.",
            lambda: float(len(self._http_server.running)),
        )
        gauge(
            "verbenad_requests_waiting",
            "Requests that wait for a target.",
            lambda: float(self._scheduler.waiting()),
        )
        gauge(
            "verbenad_bus_bytes_total",
            "Bytes sent to and received from other instances.",
            lambda: float(
                self._bus.sent.total_bytes + self._bus.received.total_bytes
            ),
        )
        self._declare_bus_metrics()
        declare_held_bytes(self.metrics, self._held_bytes)
        gauge(
            "verbenad_bus_dropped_total",
            "Messages to other instances that could not be queued.",
            lambda: float(self._bus.dropped),
        )
        gauge(
            "verbenad_bus_redialed_total",
            "Connections to other instances that were opened anew.",
            lambda: float(self._bus.redialed),
        )
        gauge(
            "verbenad_bus_failed_total",
            "Messages from other instances on which a handler failed.",
            lambda: float(self._bus.failed),
        )
        gauge(
            "verbenad_log_lines_dropped_total",
            "Log lines lost because standard output stalled.",
            lambda: float(self._log_writer.dropped_lines),
        )

    def _declare_bus_metrics(self) -> None:
        source = self.metrics.counter_source
        for direction, traffic in (
            ("sent", self._bus.sent),
            ("received", self._bus.received),
        ):
            source(
                f"verbenad_bus_{direction}_bytes_total",
                f"Bytes of bus messages {direction}, by type.",
                "message",
                lambda t=traffic: t.bytes,  # type: ignore[misc]
            )
            source(
                f"verbenad_bus_{direction}_messages_total",
                f"Bus messages {direction}, by type.",
                "message",
                lambda t=traffic: t.messages,  # type: ignore[misc]
            )

    def _declare_link_metrics(self) -> None:
        source = self.metrics.counter_source
        source(
            "verbenad_link_bytes_total",
            "Bytes of bodies charged to a link here.",
            "link",
            self._link_limiter.charged_bytes,
        )
        source(
            "verbenad_link_waits_total",
            "Reads of bodies that waited for a link.",
            "link",
            self._link_limiter.waits,
        )
        source(
            "verbenad_link_wait_seconds_total",
            "Time for which reads of bodies waited for a link.",
            "link",
            self._link_limiter.waited_s,
        )
        source(
            "verbenad_link_timeouts_total",
            "Bodies that ended because they waited too long for a link.",
            "link",
            self._link_limiter.timeouts,
        )

    def _declare_prober_metrics(self) -> None:
        gauge = self.metrics.gauge_source
        source = self.metrics.counter_source
        source(
            "verbenad_target_probes_total",
            "Health probes by reason: duty, check or alone.",
            "why",
            self._prober.probes,
        )
        source(
            "verbenad_health_messages_total",
            "Messages about the health and load of targets.",
            "kind",
            self._prober.messages,
        )
        gauge(
            "verbenad_health_bytes_total",
            "Bytes of sent messages about the health and load of targets.",
            lambda: float(self._prober.sent_bytes),
        )
        gauge(
            "verbenad_health_unacknowledged",
            "Missing acknowledgements of changes in the health of targets.",
            lambda: float(self._prober.unacknowledged),
        )
        gauge(
            "verbenad_targets_probed_alone",
            "Targets probed here because none of their probers is heard.",
            lambda: float(self._prober.probing_alone()),
        )

    def _on_state(self, state: AgreedState) -> None:
        if (
            self._config is None
            or state.config_revision != self._config.config_revision
        ):
            self._apply_config(state)
        leases = self._agreement.leases()
        self._claims.set_owned_shards(
            {lease.shard: lease.epoch for lease in leases}
        )
        self._claims.query_generations()
        self._report_self()

    def _apply_config(self, state: AgreedState) -> None:
        self._document = ConfigDocument.from_bytes(
            bytes(state.config), self._document
        )
        config = compile_config(self._document)
        self._config = config
        self._budget_loop.set_config(config)
        self._rate_limiter.set_config(config)
        self._link_limiter.set_config(config)
        self._scheduler.set_config(config)
        self._update_probed_targets()
        self._lookup_table.set_config(config)

    def _on_members_changed(self) -> None:
        self._lookup_table.set_instances(self._fleet.entry_instances())
        self._scheduler.set_instances(self._fleet.regions())
        self._prober.set_members(self._fleet.members())
        self._update_probed_targets()

    def _update_probed_targets(self) -> None:
        self._prober.set_targets(
            self._scheduler.all_targets,
            {t.name for t in self._scheduler.targets},
        )

    def _on_granted(self) -> None:
        self._rate_limiter.granted()
        self._link_limiter.granted()
        self._scheduler.serve()

    def _read_platform_list(self) -> None:
        entries = self._platform_list.read()
        if entries is None:
            return
        self._fleet.set_listed(entries)
        for name, entry in entries.items():
            if entry.kind == "backend":
                self._scheduler.set_leaving(name, entry.state == "leaving")

    def _report_self(self) -> None:
        self._fleet.report(
            config_revision=self._document.config_revision,
            fresh=self._agreement.is_fresh(self._now_s()),
            load=float(len(self._http_server.running)),
        )

    def _status(self) -> list[InstanceStatus]:
        notes = self._shift_loop.notes()
        return [
            replace(instance, shifts=notes.get(instance.name, ()))
            for instance in self._fleet.status()
        ]

    def _recheck_key(self, call: Call) -> None:
        if self._config is not None:
            recheck_key(call, self._config, self._may_use_keys)

    def _may_use_keys(self) -> bool:
        now_s = self._now_s()
        if self._agreement.is_fresh(now_s):
            return True
        config = self._config
        if config is None or config.stale_policy != "serve":
            return False
        age_s = self._agreement.freshness.age_s(now_s)
        return age_s is not None and age_s < config.stale_serve_s

    def _not_ready_reason(self) -> str | None:
        if self._is_leaving:
            return "the instance is shutting down"
        if self._config is None:
            return "no configuration has been read yet"
        if not self._may_use_keys():
            return "the configuration is not confirmed"
        return None

    def _hand_over(self) -> None:
        """Release shards and the writer role; finish reports of runs.

        Other instances would otherwise wait for timeouts.
        """
        loop, agreement = self._agreement_loop, self._agreement
        end_s = self._now_s() + MAX_HANDOVER_WAIT_S
        loop.carry_out(agreement.release_shards(self._now_s()))
        loop.carry_out(agreement.resign(self._now_s()))
        while self._now_s() < end_s:
            if agreement.has_resigned and self._claims.all_reported:
                break
            eventlet.sleep(TICK_S)
        self._fleet.stop()
        eventlet.sleep(TICK_S)
        self._bus.close()
        self._log_writer.flush()


def _http_server_limits(
    settings: DaemonSettings, max_connections: int
) -> HttpServerLimits:
    return HttpServerLimits(
        max_connections=max_connections,
        idle_timeout_s=settings.idle_limit_s,
        head_timeout_s=settings.header_limit_s,
        head=HeadLimits(block_bytes=settings.max_header_bytes),
        body=BodyLimits(stall_s=settings.body_idle_limit_s),
    )
