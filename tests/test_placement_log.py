"""Log lines and gauges of learned capacities."""

import logbook

from capacity_report import capacity_report
from steering_factories import placement, server
from verbenad.metrics import Metrics
from verbenad.steering.placement_log import PlacementLog
from verbenaworks.steering.report_summary import incarnation_hash
from verbenaworks.steering.server_table import ServerTable


def test_only_servers_that_differ_are_shown() -> None:
    """Guards against gauges that grow with the fleet, and repeated lines."""
    table, metrics, now_s = ServerTable(), Metrics(), [1.0]
    servers = [server("s0"), server("s1")]
    for reported in servers:
        table.report(0.0, reported)
    chooser = placement(table)
    log = PlacementLog(
        placement=chooser,
        table=table,
        metrics=metrics,
        now_s=lambda: now_s[0],
    )
    key = incarnation_hash(servers[1])
    chooser.capacities.record(1.0, capacity_report("a", {key: (20, 150, 9)}))
    with logbook.TestHandler() as lines:
        log.record()
        table.report(1.0, server("s1", sequence=2))
        log.record()
        page = metrics.render().decode()
        now_s[0] = 60.0
        log.record()
    assert [r.message for r in lines.records] == [
        "capacity of a backend server learned",
        "capacity of a backend server is the configured one",
    ]
    assert 'verbenad_server_usable_slots{server="s1"} 2' in page
    assert 'verbenad_server_configured_slots{server="s1"} 4' in page
    assert 'verbenad_server_time_factor{server="s1"} 1.5' in page
    assert 'server="s0"' not in page
    assert 'server="s1"' not in metrics.render().decode()
