"""Entry point of verbenad: settings, start, shutdown.

Eventlet must replace the blocking parts of the standard library before any
other import, and prints a deprecation notice that is of no use to operators;
docs/decisions.md weighs the risk.
"""

import os
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import verbenad.monkey_patched  # noqa: F401

import gc  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import eventlet  # noqa: E402
from eventlet.event import Event  # noqa: E402

from verbenad.daemon import Daemon  # noqa: E402
from verbenad.daemon_settings import read_settings_or_exit  # noqa: E402


def main() -> None:
    """Run an entry instance until a signal stops it."""
    settings = read_settings_or_exit(sys.argv[1:], os.environ)
    daemon = Daemon(settings)
    stop = Event()
    signals: list[int] = []

    def on_signal(number: int, _frame: object) -> None:
        signals.append(number)
        if len(signals) == 1:
            eventlet.spawn_after(0, stop.send, None)
        else:
            eventlet.spawn_after(0, daemon.abort)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon.start()
    # These objects live as long as the process; the collector skips them.
    gc.freeze()
    stop.wait()
    finished = daemon.shut_down()
    sys.exit(0 if finished else 1)
