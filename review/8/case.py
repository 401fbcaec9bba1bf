"""Leases lapse, all instances are killed, and a tenant exceeds its limit.

Shows that restarted instances take a tenant's window for empty if the store
has lost their registrations.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

import deployment  # noqa: E402
import hot_tenant  # noqa: E402

FOLDER = Path(__file__).resolve().parent
TENANT = "tenant-1"
HOT_FROM_S = 8.0
# platform_down, `reset lapse`: at most 4.5 s.
DOWN_FROM_S = 9.0
DOWN_FOR_S = 1.5
# herd_kill: the processes start again after a short delay.
KILL_AT_S = 10.4
RESTART_DELAY_S = 0.3
END_S = 17.0


def run(record: deployment.Record, disrupts: bool) -> bool:
    """Return whether the tenant stayed within its limit."""
    with deployment.Deployment() as fleet:
        servers = hot_tenant.open_deployment(fleet=fleet, tenant=TENANT)
        instances = fleet.start_instances(zones=list(deployment.ZONES))
        time.sleep(3.0)
        started_s = time.monotonic()
        answers: list[hot_tenant.Answer] = []
        clients = hot_tenant.start_clients(
            instances=instances,
            started_s=started_s,
            hot_from_s=HOT_FROM_S,
            end_s=END_S,
            answers=answers,
        )
        if disrupts:
            _sleep_until(started_s + DOWN_FROM_S)
            fleet.store.go_down()
            record.write("the store is down")
            _sleep_until(started_s + KILL_AT_S)
            for instance in instances:
                instance.kill()
            record.write("SIGKILL to all instances")
            time.sleep(RESTART_DELAY_S)
            for instance in instances:
                instance.start()
            record.write("all instances started again")
            _sleep_until(started_s + DOWN_FROM_S + DOWN_FOR_S)
            fleet.store.expire_leases()
            fleet.store.come_back()
            record.write("the store is back, and leases have lapsed")
        for client in clients:
            client.join(END_S + 10)
        return hot_tenant.is_within_limit(
            record=record,
            servers=servers,
            answers=answers,
            tenant=TENANT,
            started_s=started_s,
        )


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


deployment.run_case(main=run, folder=FOLDER)
