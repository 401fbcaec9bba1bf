"""Tests of request bodies between regions over real processes and a relay.

They check counts, so no result depends on the speed of the machine.
"""

import re
from collections.abc import Callable, Iterator

import pytest
import urllib3

from standins.deployments import MATUNDA
from standins.local_deployment import LocalDeployment
from waiting import until

BASE_PORT = 18800
TIMEOUT_S = 60.0
BODY_BYTES = 3_000_000
_SAMPLE_PATTERN = re.compile(
    r'^(verbenad_link_\w+)\{link="([^"]*)"\} (\S+)$', re.M
)


@pytest.fixture(scope="module")
def local(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[LocalDeployment]:
    """Start three instances and drain the targets of the region nairobi."""
    deployment = LocalDeployment(
        MATUNDA,
        base_port=BASE_PORT,
        instances=3,
        log_directory=tmp_path_factory.mktemp("logs"),
        links=True,
    )
    try:
        deployment.start()
        _until(lambda: _send(deployment, 1).status == 200)
        deployment.verbena("set", "/", "link_bytes_per_s=2000000", "--wait")
        deployment.verbena("drain", "start", "/regions/nairobi", "--wait")
        yield deployment
    finally:
        deployment.stop()


def _send(
    deployment: LocalDeployment, body_bytes: int, deadline_s: float = 30.0
) -> urllib3.BaseHTTPResponse:
    """Send a body to the instance in nairobi."""
    address = next(
        address.caller
        for address in deployment.instances.values()
        if address.region == "nairobi"
    )
    return urllib3.request(
        "PUT",
        f"http://{address}/s/uploads/x",
        body=b"y" * body_bytes,
        headers={
            "X-Verbena-Key": deployment.settings.keys["large1"],
            "X-Request-Deadline-Ms": str(int(deadline_s * 1000)),
        },
        timeout=TIMEOUT_S,
        retries=False,
    )


def _until(is_done: Callable[[], bool]) -> None:
    until(is_done, TIMEOUT_S)


def _metric_sum(deployment: LocalDeployment, metric: str) -> float:
    """Return the sum of a metric over the links out of nairobi."""
    total = 0.0
    for address in deployment.instances.values():
        url = f"http://{address.caller}/metrics"
        metrics = urllib3.request("GET", url).data.decode()
        total += sum(
            float(value)
            for name, link, value in _SAMPLE_PATTERN.findall(metrics)
            if name == metric and link.startswith("link/nairobi/")
        )
    return total


def test_a_body_to_another_region_is_paced_and_counted(
    local: LocalDeployment,
) -> None:
    """Guards against bytes between regions that are not counted."""
    before = _metric_sum(local, "verbenad_link_bytes_total")
    response = _send(local, BODY_BYTES)
    assert response.status == 200, response.data
    after = _metric_sum(local, "verbenad_link_bytes_total")
    assert after - before == BODY_BYTES
    # The burst is 1 MiB, so about 2 of the 3 MB had to wait.
    assert _metric_sum(local, "verbenad_link_waits_total") > 0


def test_a_body_that_waits_past_its_deadline_fails(
    local: LocalDeployment,
) -> None:
    """Guards against a truncated body that the caller believes was sent."""
    response = _send(local, 9_000_000, deadline_s=1.5)
    assert response.json()["code"] in ("link-full", "deadline-exceeded")
    assert response.json()["run"] == "outcome unknown"


def test_status_says_what_a_shift_is_doing(local: LocalDeployment) -> None:
    """Guards against a shift that waits without telling operators why."""
    local.verbena(
        *("shift", "start", "s1", "--from-region", "nairobi"),
        *("--to-region", "kisumu", "--cap-share", "0.5"),
        *("--step-share", "0.25", "--wait"),
    )
    _until(lambda: "shift s1 " in local.verbena("status"))
    # The links are measured and free, so the shift reaches its cap.
    _until(lambda: "shift s1 is complete" in local.verbena("status"))


def test_logs_have_no_failures(local: LocalDeployment) -> None:
    """Guards against handler errors that callers do not notice."""
    for name in (*local.instances, "links"):
        failures = [
            line for line in local.log_lines(name) if "Traceback" in line
        ]
        assert not failures
