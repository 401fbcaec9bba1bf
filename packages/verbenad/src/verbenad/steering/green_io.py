"""Lets the standard library's sockets and pauses wait in the event loop.

The process imports this module before any other, because modules that have
imported names of ``socket`` earlier would keep the blocking ones. Locks and
files stay as they are: the process has one thread, and replacing them takes a
tenth of a second at each start.
"""

import eventlet

eventlet.monkey_patch(os=False, thread=False)
