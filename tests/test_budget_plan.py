"""Budgets that a configuration defines, and their division."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenad.budget_plan import RATE_PARTS, rate_parts
from verbenaworks.budget_spec import shard_of
from verbenaworks.compiled_config import WorkspaceConfig


def _workspace(name: str, rate_per_s: float, burst: float) -> WorkspaceConfig:
    return WorkspaceConfig(
        name=name,
        rate_per_s=rate_per_s,
        burst=burst,
        allowed_services=frozenset(),
        policies={},
    )


@settings(derandomize=True, max_examples=200, database=None)
@given(st.floats(0.1, 1e6), st.floats(1, 1e6))
def test_parts_do_not_exceed_the_whole(
    rate_per_s: float, burst: float
) -> None:
    """Guards against parts that add up to more than the workspace's rate."""
    parts = rate_parts(_workspace("w", rate_per_s, burst))
    assert sum(part.rate_milli_per_s for part in parts) <= rate_per_s * 1000
    assert sum(part.burst for part in parts) <= burst
    assert all(part.burst >= 1 for part in parts)


@settings(derandomize=True, max_examples=200, database=None)
@given(st.from_regex("[a-z0-9][a-z0-9-]{0,62}", fullmatch=True))
def test_parts_belong_to_different_shards(name: str) -> None:
    """Guards against a workspace without service when one owner fails.

    With a single owner, a workspace whose calls moved to another instance had
    no token for 10.6 s after the failure of that owner.
    """
    parts = rate_parts(_workspace(name, 400.0, 400.0))
    assert len({shard_of(part.name) for part in parts}) == RATE_PARTS
