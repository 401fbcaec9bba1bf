"""Replaces the blocking parts of the standard library on import.

The process imports this module before any other, because modules that have
imported ``socket`` or ``threading`` names earlier would keep the blocking
ones.
"""

import eventlet

eventlet.monkey_patch()
