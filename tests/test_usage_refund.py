"""Refunds of requests that were charged some time before."""

import pytest

from steering_factories import workspace
from verbenaworks.steering.admission import Admission
from verbenaworks.steering.rate_ledger import RateLedger
from verbenaworks.steering.usage_window import UsageWindow
from verbenaworks.steering.workspace_rate_limiter import WorkspaceRateLimiter

WINDOW_S = 5.0
RATE_PER_S = 10.0
LIMIT = 50


def test_refund_of_an_old_charge_raises_no_limit() -> None:
    """Guards against a refund that outlasts the charge in the window.

    Uploads that end early are refunded some seconds after they were charged.
    """
    rates = WorkspaceRateLimiter(
        instance="one", incarnation=1, window_s=WINDOW_S, period_s=0.4
    )
    rates.set_workspaces(0.0, {"acme": workspace("acme", RATE_PER_S, 0.0)})
    for _ in range(20):
        assert rates.admit(0.0, "acme") is Admission.ACCEPTED
    for _ in range(20):
        rates.refund(4.9, "acme", 0.0)
    admitted = [
        rates.admit(5.5 + number / 100, "acme") is Admission.ACCEPTED
        for number in range(100)
    ]
    assert sum(admitted) <= LIMIT


@pytest.mark.parametrize("refund_at_s", [0.5, 2.0, 3.9])
def test_refund_never_outlasts_its_charge(refund_at_s: float) -> None:
    """Guards against a window that counts too few at any instance.

    The refund reaches the other instance with the next report.
    """
    ledger = RateLedger(window_s=WINDOW_S)
    window = UsageWindow(WINDOW_S)
    ledger.record_total(0.0, "two", 1, 0, 0)
    for at_s, total in ((0.1, 20), (refund_at_s - 0.1, 40)):
        window.add(at_s, 20)
        ledger.record_total(at_s, "two", 1, total, total)
    window.subtract(refund_at_s, 20)
    ledger.record_total(refund_at_s, "two", 1, 20, 20)
    # The 20 requests that ran may be those of the second time.
    for at_s in (refund_at_s, 5.3, refund_at_s - 0.1 + WINDOW_S):
        assert window.count(at_s) == 20
        assert ledger.counted(at_s) == 20
