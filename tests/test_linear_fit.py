"""Tests the line fits behind the capacity page."""

import pytest

from linear_fit import fit_line


def test_points_on_a_line_leave_no_residual() -> None:
    """Guards against wrong slopes and intercepts on the capacity page."""
    line = fit_line((x, 3.0 + 0.5 * x) for x in (10, 40, 20, 30))
    assert line.slope == pytest.approx(0.5)
    assert line.intercept == pytest.approx(3.0)
    assert line.residual_share == pytest.approx(0.0, abs=1e-12)
    assert line.at(1000) == pytest.approx(503.0)
    assert line.largest_x == 40


def test_growth_that_is_not_linear_shows_in_the_residual() -> None:
    """Guards against quadratic costs that are reported as linear."""
    line = fit_line((x, float(x * x)) for x in (1, 2, 4, 8))
    assert line.residual_share > 0.05


def test_too_few_sizes_are_refused() -> None:
    """Guards against a fit to too few sizes to show a nonlinear cost."""
    with pytest.raises(ValueError, match="four or more"):
        fit_line([(1, 1.0), (2, 2.0), (3, 3.0), (3, 3.1)])


def test_constant_values_give_a_flat_line() -> None:
    """Guards against a division by zero for costs that are zero."""
    line = fit_line((x, 0.0) for x in (1, 2, 3, 4))
    assert (line.slope, line.residual_share) == (0.0, 0.0)
