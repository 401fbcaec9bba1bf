"""A rolling restart lets a tenant exceed its limit.

Shows that an instance which was stopped and started again decides on a
tenant's limit without what other stopped instances have accepted.
"""

import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

import deployment  # noqa: E402
import hot_tenant  # noqa: E402

FOLDER = Path(__file__).resolve().parent
# By its name, the first instance coordinates its limit.
TENANT = "tenant-1"
HOT_FROM_S = 6.0
FIRST_STOP_S = 10.0
# As roll_term of the site file: all machines, one at a time, a second apart.
GAP_S = 1.0
# The platform sends SIGKILL after graceS and starts the process again.
GRACE_S = deployment.BOUNDS["graceS"]
RESTART_DELAY_S = 0.3
END_S = 26.0


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
        stops = []
        if disrupts:
            for number, instance in enumerate(instances):
                stop_s = started_s + FIRST_STOP_S + number * GAP_S
                time.sleep(max(0.0, stop_s - time.monotonic()))
                record.write(f"SIGTERM to {instance.name}")
                stop = threading.Thread(
                    target=_restart, args=(instance, record)
                )
                stop.start()
                stops.append(stop)
        for thread in [*stops, *clients]:
            thread.join(END_S + 10)
        return hot_tenant.is_within_limit(
            record=record,
            servers=servers,
            answers=answers,
            tenant=TENANT,
            started_s=started_s,
        )


def _restart(instance: deployment.Instance, record: deployment.Record) -> None:
    """Stop an instance as the platform does, and start it again."""
    instance.signal(signal.SIGTERM)
    try:
        instance.wait_for_end(timeout_s=GRACE_S)
    except subprocess.TimeoutExpired:
        instance.kill()
    time.sleep(RESTART_DELAY_S)
    instance.start()
    record.write(f"{instance.name} started again")


deployment.run_case(main=run, folder=FOLDER)
