"""Timer service in virtual time."""

from verbenaworks import VirtualTimers


def test_clock_rates_differ() -> None:
    """Guards against simulations in which all clocks have one rate."""
    base = VirtualTimers()
    fast = VirtualTimers(rate=2.0, parent=base)
    fired_at_s: list[float] = []
    fast.after(1.0, lambda: fired_at_s.append(base.now_s()))
    base.advance(1.0)
    assert fired_at_s == [0.5]
    assert fast.now_s() == 2.0


def test_cancelled_timer_does_not_fire() -> None:
    """Guards against callbacks after their subscription was cancelled."""
    timers = VirtualTimers()
    fired: list[int] = []
    subscription = timers.every(1.0, lambda: fired.append(1))
    timers.advance(2.5)
    subscription.cancel()
    timers.advance(5.0)
    assert fired == [1, 1]
