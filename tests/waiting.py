"""Waits of the tests over real processes."""

import time
from collections.abc import Callable


def until(is_done: Callable[[], bool], limit_s: float) -> None:
    """Wait until a state is reached; fail after the limit."""
    end_s = time.monotonic() + limit_s
    while not is_done():
        assert time.monotonic() < end_s, "not reached in time"
        time.sleep(0.05)
