"""Runs one backend server stand-in across crashes and restarts."""

import contextlib
import errno

import eventlet
import eventlet.wsgi
import greenlet

from standins.backend_app import RESTART_DELAY_S, BackendApp

_MAX_CONNECTIONS = 4096


class BackendServer:
    """Listens on a port except while the target is crashed."""

    def __init__(self, app: BackendApp, port: int) -> None:
        self._app = app
        self._port = port
        self._thread: eventlet.greenthread.GreenThread | None = None
        self._listener: eventlet.greenio.GreenSocket | None = None
        app.on_crash = self._schedule_stop

    def run(self) -> None:
        """Serve until the process ends."""
        while True:
            self._listener = self._listen()
            self._thread = eventlet.spawn(self._serve)
            with contextlib.suppress(greenlet.GreenletExit):
                self._thread.wait()
            eventlet.sleep(RESTART_DELAY_S)

    def _listen(self) -> eventlet.greenio.GreenSocket:
        while True:
            try:
                return eventlet.listen(("127.0.0.1", self._port))
            except OSError as error:
                # While the target was down, the operating system may have
                # assigned its port to an outgoing connection.
                if error.errno != errno.EADDRINUSE:
                    raise
            eventlet.sleep(RESTART_DELAY_S)

    def _serve(self) -> None:
        # The server has its own pool of handlers, so that stopping the
        # accept loop does not wait for the handlers of the crashed target.
        eventlet.wsgi.server(
            self._listener,
            self._app,
            log_output=False,
            debug=False,
            max_size=_MAX_CONNECTIONS,
        )

    def _schedule_stop(self) -> None:
        eventlet.spawn_after(0, self._stop)

    def _stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._thread is not None:
            self._thread.kill()
