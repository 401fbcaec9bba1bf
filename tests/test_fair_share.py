"""Max-min division of whole units."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenaworks.fair_share import fair_share


def test_small_demands_are_met_first() -> None:
    """Guards against a large workspace taking a small one's share."""
    assert fair_share(10, [100, 2, 3]) == [5, 2, 3]


def test_indivisible_units_go_to_a_subset() -> None:
    """Guards against 6 slots among 11 clients being lost or duplicated."""
    assert fair_share(6, [1] * 11, [1] * 11) == [1] * 6 + [0] * 5


@settings(derandomize=True, max_examples=300, database=None, deadline=None)
@given(
    st.integers(0, 300),
    st.lists(st.tuples(st.integers(0, 90), st.integers(1, 9)), max_size=9),
)
def test_division_is_max_min(total: int, asked: list[tuple[int, int]]) -> None:
    """Guards against a sum above the total and against unfair shares."""
    demands = [demand for demand, _ in asked]
    weights = [weight for _, weight in asked]
    shares = fair_share(total, demands, weights)
    assert sum(shares) == min(total, sum(demands))
    assert all(0 <= s <= d for s, d in zip(shares, demands, strict=True))
    for i, share in enumerate(shares):
        if share < demands[i]:
            # No share exceeds that of an unmet demand by more than a unit.
            assert all(
                (other - 1) * weights[i] < (share + 1) * weights[j]
                for j, other in enumerate(shares)
            )
