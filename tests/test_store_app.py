"""Tests of the store stand-in and the store client over real sockets."""

import json
import os
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator

import pytest
from result import Err, Ok

from verbenad.store_client import (
    StoreClient,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

PORT = 17310
URL = f"http://127.0.0.1:{PORT}"


@pytest.fixture
def store() -> Iterator[StoreClient]:
    """Start a new store for each test."""
    process = subprocess.Popen(
        [sys.executable, "-m", "standins", "store", "--port", str(PORT)],
        env=os.environ | {"PYTHONWARNINGS": "ignore"},
        stderr=subprocess.DEVNULL,
    )
    client = StoreClient(URL, read_timeout_s=5.0)
    for _ in range(600):
        if client.version("x").is_ok():
            break
        time.sleep(0.05)
    yield client
    process.kill()
    process.wait()


def _set_faults(**faults: object) -> None:
    request = urllib.request.Request(
        f"{URL}/admin/faults", json.dumps(faults).encode(), method="PUT"
    )
    urllib.request.urlopen(request, timeout=5).close()


def test_compare_and_swap(store: StoreClient) -> None:
    """Guards against a write that overwrites a version it did not expect."""
    assert store.put("a", b"1", 0) == Ok(1)
    error = store.put("a", b"2", 0).unwrap_err()
    assert isinstance(error, StoreConflictError)
    assert error.version == 1
    assert store.get("a").unwrap().data == b"1"


def test_lost_answer_is_reported_as_unknown(store: StoreClient) -> None:
    """Guards against a write that took effect but is reported as failed."""
    _set_faults(lost_answers=1)
    match store.put("a", b"1", 0):
        case Err(StoreOutcomeUnknownError()):
            pass
        case other:
            pytest.fail(f"unexpected {other}")
    assert store.get("a").unwrap().data == b"1"


def test_down_store_fails_reads_and_ends_watches(store: StoreClient) -> None:
    """Guards against a read that hangs or succeeds during an outage."""
    _set_faults(down=True)
    for result in (store.get("a"), store.version("a"), store.watch("a", 0, 1)):
        assert isinstance(result.unwrap_err(), StoreUnavailableError)


def test_watch_returns_on_change(store: StoreClient) -> None:
    """Guards against a watch that misses a write from before it started."""
    assert store.watch("a", 0, 0.0) == Ok(0)
    store.put("a", b"1", 0)
    assert store.watch("a", 0, 30.0) == Ok(1)


def test_lease_deletes_its_keys(store: StoreClient) -> None:
    """Guards against keys that outlive their lease in the stand-in."""
    lease_id = store.grant_lease(0.2).unwrap()
    version = store.put("a", b"1", 0, lease_id).unwrap()
    store.watch("a", version, 30.0)
    assert store.get("a").unwrap().version == 0
