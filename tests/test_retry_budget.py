"""Budget of retries."""

from verbenaworks.attempt_outcome import (
    Completed,
    Failed,
    RefusedLeaving,
    RefusedOverload,
)
from verbenaworks.retry_budget import RetryBudget, retry_is_safe


def test_sent_bytes_forbid_a_retry() -> None:
    """Guards against a second run of a non-idempotent request."""
    sent, unsent = Failed(bytes_sent=True), Failed(bytes_sent=False)
    assert not retry_is_safe(sent, idempotent=False)
    assert retry_is_safe(sent, idempotent=True)
    assert retry_is_safe(unsent, idempotent=False)
    assert retry_is_safe(RefusedLeaving(), idempotent=False)
    assert retry_is_safe(RefusedOverload(), idempotent=False)
    assert not retry_is_safe(Completed(), idempotent=True)


def test_retries_are_a_share_of_requests() -> None:
    """Guards against a storm of retries."""
    budget = RetryBudget(share=0.1, constant_per_s=0.5)
    failed = Failed(bytes_sent=False)
    retries = 0
    for request in range(2000):
        now_s = request / 100
        budget.request(now_s)
        retries += budget.try_retry(now_s, failed, idempotent=True)
    assert 100 <= retries <= 200 + 6 + 10
