"""Tests of the whole path of requests over real processes and sockets.

No result depends on the speed of the machine: timeouts are long, and
durations are checked by the measurements only.
"""

import json
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from standins.caller import Caller
from standins.deployment_settings import BLOCKS_PER_REGION
from standins.deployments import MATUNDA
from standins.local_deployment import LocalDeployment
from waiting import until

BASE_PORT = 18400
TIMEOUT_S = 90.0


@pytest.fixture(scope="module")
def local(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[LocalDeployment]:
    """Start three instances with platform stand-ins and backend servers."""
    deployment = LocalDeployment(
        MATUNDA,
        base_port=BASE_PORT,
        instances=3,
        log_directory=tmp_path_factory.mktemp("logs"),
    )
    try:
        deployment.start()
        _until(lambda: _caller(deployment).call("catalogue").status == 200)
        yield deployment
    finally:
        deployment.stop()


def _caller(
    deployment: LocalDeployment, workspace: str = "large1", region: int = 0
) -> Caller:
    settings = deployment.settings
    return Caller(
        [a.caller for a in deployment.instances.values()],
        list(settings.addresses.values())[region],
        settings.keys[workspace],
    )


def _until(is_done: Callable[[], bool]) -> None:
    until(is_done, TIMEOUT_S)


def _history(deployment: LocalDeployment) -> list[dict[str, object]]:
    runs: list[dict[str, object]] = []
    for name in deployment.target_ports:
        _until(lambda n=name: deployment.accepts_connections(n))  # type: ignore[misc]
        url = f"{deployment.target_url(name)}/admin/history"
        runs += deployment.get_json(url)  # type: ignore[arg-type]
    return runs


def test_every_instance_gives_the_same_lookup(local: LocalDeployment) -> None:
    """Guards against differing lookups that send callers in circles."""
    address = next(iter(local.settings.addresses.values()))

    def lookups() -> list[object]:
        lookup_results = []
        for instance in local.instances.values():
            caller = Caller([instance.caller], address, None)
            lookup_results.append(caller.lookup("catalogue")["instances"])
        return lookup_results

    _until(lambda: len(lookups()[0]) == 3)  # type: ignore[arg-type]
    first, *others = lookups()
    assert all(other == first for other in others)


def test_request_reaches_a_target_without_its_key(
    local: LocalDeployment,
) -> None:
    """Guards against a key that leaves the entry instance."""
    result = _caller(local).call("catalogue", "POST", "/x?a=1", b"hello")
    assert result.status == 200
    run = json.loads(result.body)
    assert run["request_id"] == result.request_id
    assert run["body_bytes"] == 5
    assert all(not run["secrets_seen"] for run in _history(local))


def test_wrong_key_and_unknown_service_are_refused(
    local: LocalDeployment,
) -> None:
    """Guards against requests that run without a valid key or service."""
    caller = _caller(local)
    wrong = Caller(
        [next(iter(local.instances.values())).caller],
        next(iter(local.settings.addresses.values())),
        "vk_000000000000_" + "0" * 48,
    )
    result = wrong.call("catalogue")
    assert (result.status, result.code) == (401, "key-unknown")
    assert result.run == "not run"
    with pytest.raises(ConnectionError):
        caller.call("no-such-service")


def test_order_sent_again_through_another_instance_runs_once(
    local: LocalDeployment,
) -> None:
    """Guards against a second run when the caller changes instances."""
    first = _caller(local, region=0)
    other = _caller(local, region=1)
    _until(lambda: "." in first.idempotency_key("orders"))
    key = first.idempotency_key("orders")
    headers = {"Idempotency-Key": key}
    results = [
        caller.call("orders", "POST", "/o", b"one", headers)
        for caller in (first, other, first)
    ]
    assert [result.status for result in results] == [200, 200, 200]
    assert len({result.body for result in results}) == 1
    runs = [r for r in _history(local) if r["idempotency_key"] == key]
    assert len(runs) == 1


def test_order_without_a_ticket_runs_once(local: LocalDeployment) -> None:
    """Guards against a second run of a key without a lookup ticket."""
    caller = _caller(local)
    headers = {"Idempotency-Key": "made-up-by-the-caller"}
    first = caller.call("orders", "POST", "/o", b"one", headers)
    again = caller.call("orders", "POST", "/o", b"one", headers)
    assert first.status == 200
    assert (again.status, again.run) == (409, "outcome unknown")
    runs = [
        r
        for r in _history(local)
        if r["idempotency_key"] == "made-up-by-the-caller"
    ]
    assert len(runs) == 1


def test_withdrawn_key_stops_on_every_instance(
    local: LocalDeployment,
) -> None:
    """Guards against a withdrawn key that some instance still accepts."""
    callers = [_caller(local, "small3", region) for region in range(3)]
    for caller in callers:
        _until(lambda c=caller: c.call("catalogue").status == 200)  # type: ignore[misc]
    key_id = local.settings.keys["small3"].split("_")[1]
    local.verbena("key", "withdraw", key_id, "--wait")
    for caller in callers:
        assert caller.call("catalogue").code == "key-unknown"


def test_drained_target_gets_no_new_work(local: LocalDeployment) -> None:
    """Guards against requests to a backend server that is leaving."""
    path = "/services/schedules/targets/t2"
    local.verbena("drain", "start", path, "--wait")
    caller = _caller(local, region=1)
    results = [caller.call("schedules") for _ in range(60)]
    assert {r.status for r in results} == {200}
    assert "schedules/t2" not in {
        str(json.loads(r.body)["target"]) for r in results
    }


def test_request_that_crashes_servers_is_refused(
    local: LocalDeployment,
) -> None:
    """Guards against one request that crashes a whole service."""
    caller = _caller(local, region=2)
    codes = []
    for _ in range(4):
        result = caller.call("uploads", "GET", "/?crash-this-server")
        codes.append(result.code)
        if result.code == "crash-suspect":
            break
    assert codes[-1] == "crash-suspect"
    crashed = [r for r in _history(local) if r["outcome"] == "crashed"]
    assert 1 <= len(crashed) <= 3
    _until(lambda: caller.call("uploads").status == 200)


def test_shift_moves_blocks_up_to_its_cap(local: LocalDeployment) -> None:
    """Guards against a shift that stops early or exceeds its cap."""
    regions = list(local.settings.addresses)
    local.verbena(
        *("shift", "start", "s1", "--from-region", regions[0]),
        *("--to-region", regions[1], "--cap-share", "0.25"),
        *("--step-share", "0.125", "--wait"),
    )
    instance = next(iter(local.instances.values())).caller

    def moved_blocks() -> int:
        lookups = [
            Caller([instance], f"10.0.{block}.7", None).lookup("catalogue")
            for block in range(BLOCKS_PER_REGION)
        ]
        return sum(lookup["region"] == regions[1] for lookup in lookups)

    block_counts = {moved_blocks()}
    cap = BLOCKS_PER_REGION // 4

    def is_complete() -> bool:
        block_counts.add(moved_blocks())
        return max(block_counts) >= cap

    _until(is_complete)
    assert max(block_counts) == cap
    local.verbena("shift", "abort", "s1", "--wait")
    assert moved_blocks() == 0


def test_store_outage_does_not_stop_keyed_requests(
    local: LocalDeployment,
) -> None:
    """Guards against a store outage that also stops traffic."""
    caller = _caller(local)
    local.set_store_faults(down=True)
    try:
        time.sleep(4.0)
        results = [caller.call("catalogue") for _ in range(20)]
    finally:
        local.set_store_faults()
    assert {r.status for r in results} == {200}


def test_graceful_shutdown_finishes_requests(local: LocalDeployment) -> None:
    """Guards against a restart that interrupts a running request."""
    caller = _caller(local)
    first = caller.lookup("catalogue")["instances"][0]["name"]  # type: ignore[index]
    results = []

    def send() -> None:
        results.append(caller.call("catalogue", path="/?ms=1500"))

    thread = threading.Thread(target=send)
    thread.start()
    time.sleep(0.5)
    process = local.terminate(str(first))
    thread.join()
    assert results[0].status == 200
    assert process.wait(TIMEOUT_S) == 0
    local.start_instance(str(first))
    local.wait_until_ready([str(first)])
    _until(lambda: caller.call("catalogue").status == 200)


def test_killed_instance_is_replaced(
    local: LocalDeployment, tmp_path: Path
) -> None:
    """Guards against a killed instance that callers notice for long."""
    caller = _caller(local, region=1)
    name = str(caller.lookup("catalogue")["instances"][0]["name"])  # type: ignore[index]
    local.kill(name)
    _until(lambda: caller.call("catalogue").status == 200)
    local.start_instance(name)
    local.wait_until_ready([name])
    _until(lambda: caller.call("catalogue").status == 200)


def test_logs_are_json_lines_without_keys(local: LocalDeployment) -> None:
    """Guards against logs that tools cannot parse or that contain keys."""
    channels = set()

    def has_all_channels() -> bool:
        for name in local.instances:
            for line in local.log_lines(name):
                channels.add(json.loads(line)["channel"])
        return {"verbenad.decision", "audit", "verbenad.shift"} <= channels

    _until(has_all_channels)
    text = "".join(
        line for name in local.instances for line in local.log_lines(name)
    )
    assert not any(key in text for key in local.settings.keys.values())
