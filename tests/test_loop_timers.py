"""Timer service on the event loop."""

import eventlet
import logbook

from verbenad.loop_timers import LoopTimers


def test_callbacks_run_in_order_of_their_time() -> None:
    """Guards against timers that fire early, twice or in another order."""
    timers = LoopTimers()
    fired: list[str] = []
    done = eventlet.Event()
    timers.after(0.02, lambda: fired.append("second"))
    timers.after(0.01, lambda: fired.append("first"))
    timers.after(0.03, done.send)
    started_s = timers.now_s()
    done.wait()
    assert fired == ["first", "second"]
    assert timers.now_s() - started_s >= 0.03


def test_cancelled_timer_does_not_fire() -> None:
    """Guards against callbacks after their subscriber is gone."""
    timers = LoopTimers()
    fired: list[int] = []
    done = eventlet.Event()
    timers.after(0.005, lambda: fired.append(1)).cancel()
    periodic = timers.every(0.005, lambda: fired.append(2))
    periodic.cancel()
    timers.after(0.03, done.send)
    done.wait()
    assert fired == []


def test_failing_callback_does_not_end_the_timer() -> None:
    """Guards against one fault that silences a periodic task for ever."""
    timers = LoopTimers()
    done = eventlet.Event()
    calls: list[int] = []

    def fail() -> None:
        calls.append(1)
        if len(calls) == 3:
            subscription.cancel()
            done.send()
        raise RuntimeError

    log = logbook.TestHandler()
    # A handler of one context would not see records of green threads.
    with log.applicationbound():
        subscription = timers.every(0.002, fail)
        done.wait()
        eventlet.sleep(0.01)
    assert len(calls) == 3
    assert len(log.records) == 3


def test_blocking_callback_does_not_stop_other_timers() -> None:
    """Guards against a callback that waits and so stops the loop."""
    timers = LoopTimers()
    waiting, done = eventlet.Event(), eventlet.Event()
    timers.after(0.0, waiting.wait)
    timers.after(0.005, done.send)
    done.wait()
    waiting.send()
