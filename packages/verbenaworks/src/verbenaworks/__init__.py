"""Coordination components for global traffic steering.

The package uses no sockets, threads or clocks. Its state machines receive the
current time and messages, and return decisions and outgoing messages.
"""

from verbenaworks.errors import VerbenaError, WireError
from verbenaworks.timers import Subscription, Timers
from verbenaworks.virtual_timers import VirtualTimers
from verbenaworks.wire import decode, encode, wire_message

__all__ = [
    "Subscription",
    "Timers",
    "VerbenaError",
    "VirtualTimers",
    "WireError",
    "decode",
    "encode",
    "wire_message",
]
