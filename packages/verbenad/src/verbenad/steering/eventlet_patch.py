"""Replaces blocking sockets and sleeps by those of eventlet.

The process must import this module before any other, because modules that
imported names from ``socket`` earlier would keep the blocking versions. Locks
and files are not replaced: the process has only one thread, and replacing
them takes a tenth of a second at each start.
"""

import eventlet

eventlet.monkey_patch(os=False, thread=False)
