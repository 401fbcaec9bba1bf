"""Waiting for a condition in tests that use real processes."""

import time
from collections.abc import Callable


def until(is_done: Callable[[], bool], limit_s: float) -> None:
    """Wait until ``is_done`` returns true; fail after ``limit_s``."""
    end_s = time.monotonic() + limit_s
    while not is_done():
        assert time.monotonic() < end_s, "the condition was not met in time"
        time.sleep(0.05)
