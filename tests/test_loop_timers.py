"""Timer service on the event loop."""

import eventlet
import logbook
import pytest

from verbenad.loop_timers import LoopSubscription, LoopTimers


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
    """Guards against callbacks after the timer was cancelled."""
    timers = LoopTimers()
    fired: list[int] = []
    done = eventlet.Event()
    timers.after(0.005, lambda: fired.append(1)).cancel()
    periodic = timers.every(0.005, lambda: fired.append(2))
    periodic.cancel()
    timers.after(0.03, done.send)
    done.wait()
    assert fired == []


def test_cancelling_does_not_let_others_run() -> None:
    """Guards against a green thread that observes an incomplete change.

    Requests waited forever: a shortage of units cancelled the timer of the
    budget loop while the admission queue was being changed, and other
    requests entered the queue during the cancellation.
    """
    timers = LoopTimers()
    ran: list[int] = []
    eventlet.spawn_n(ran.append, 1)
    timers.after(0.005, lambda: ran.append(2)).cancel()
    assert ran == []
    eventlet.sleep(0.01)
    assert ran == [1]


def test_failing_callback_does_not_end_the_timer() -> None:
    """Guards against one exception that stops a periodic task forever."""
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
    # A handler of a single context would not see records of green threads.
    with log.applicationbound():
        subscription = timers.every(0.002, fail)
        done.wait()
        eventlet.sleep(0.01)
    assert len(calls) == 3
    assert len(log.records) == 3


def test_blocking_callback_does_not_stop_other_timers() -> None:
    """Guards against a waiting callback that blocks the event loop."""
    timers = LoopTimers()
    waiting, done = eventlet.Event(), eventlet.Event()
    timers.after(0.0, waiting.wait)
    timers.after(0.005, done.send)
    done.wait()
    waiting.send()


def test_periodic_timers_share_wake_ups(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waking the idle event loop separately for each timer.

    A late call must not cause a burst or shift the later calls.
    """
    clock = [100.0]
    dues: list[float] = []
    monkeypatch.setattr("time.monotonic", lambda: clock[0])
    monkeypatch.setattr(
        LoopSubscription, "schedule", lambda _self, due_s: dues.append(due_s)
    )
    timers = LoopTimers()
    clock[0] += 0.3
    timers.every(0.5, list)
    clock[0] += 0.4
    timers.every(0.25, list)
    assert dues == [100.5, 100.75]
    late = LoopSubscription(list, 0.25)
    late._due_s = 100.75
    clock[0] = 103.3
    late._run()
    assert dues[2:] == [103.5]
