"""Seeded histories of several instances with faults, in virtual time.

``SEED=n python tools/histories_agreement.py`` replays one of them.
"""

from concurrent.futures import ProcessPoolExecutor

import pytest

from agreement_checkers import check_all, check_always_fresh
from agreement_harness import Cluster
from histories_agreement import check_seed

_SEEDS = 240


def test_seeded_histories() -> None:
    """Guards against every violation that the checkers detect."""
    with ProcessPoolExecutor(4) as pool:
        results = pool.map(check_seed, range(_SEEDS), chunksize=10)
        assert [result for result in results if result[1]] == []


@pytest.mark.parametrize("is_silent", [False, True])
def test_store_outage_keeps_everyone_fresh(is_silent: bool) -> None:
    """Guards against a store outage that makes instances stop serving."""
    cluster = Cluster(1)
    cluster.start_all()
    cluster.timers.advance(10.0)
    cluster.store.is_down, cluster.store.is_silent = True, is_silent
    cluster.timers.advance(40.0)
    cluster.store.is_down = False
    cluster.timers.advance(10.0)
    assert check_always_fresh(cluster.history, 8.0) == []
    assert check_all(cluster.history) == []


def test_region_without_the_store_loses_freshness_alone() -> None:
    """Guards against a partitioned region that accepts withdrawn keys."""
    cluster = Cluster(2)
    cluster.start_all()
    cluster.timers.advance(10.0)
    cluster.partitions = {
        pair for r in ("r1", "r2") for pair in ((r, "r3"), ("r3", r))
    }
    cluster.timers.advance(3.0)
    cluster.submit("e1", ["i11"])
    cluster.timers.advance(4.0)
    for node in cluster.nodes.values():
        fresh = node.agreement.is_fresh(node.clock.now_s())
        assert fresh == (node.region != "r3")
        assert node.edits == (("e1",) if node.region != "r3" else ())
    state = cluster.nodes["i11"].agreement.state
    assert state is not None
    assert {w.region for w in state.control.writers} == {"r1", "r2"}
    cluster.partitions.clear()
    cluster.timers.advance(8.0)
    assert check_all(cluster.history) == []
