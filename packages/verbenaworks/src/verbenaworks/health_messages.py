"""Messages about the health and load of targets.

Instances are named by their bus addresses, targets by their names. The
messages are encoded as arrays without field names.
"""

import msgspec

from verbenaworks.wire import wire_message


class HealthChange(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The newest report of one prober on one target.

    :ivar seq: raised by the prober with each change of this target.
    :ivar health: position in the order of :class:`Health`.
    """

    target: str
    seq: int
    health: int


@wire_message
class HealthNews(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Changes that a prober has seen.

    :ivar origin: the prober; the sender may be a relay.
    :ivar incarnation: run of the prober that counted the sequences.
    :ivar pass_to: instances to which the receiver passes the message on.
    """

    origin: str
    incarnation: int
    changes: tuple[HealthChange, ...]
    pass_to: tuple[str, ...] = ()


@wire_message
class HealthTaken(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Acknowledges changes of one prober.

    :ivar taken: target and sequence of each change.
    :ivar takers: the instances that have the changes.
    """

    origin: str
    incarnation: int
    taken: tuple[tuple[str, int], ...]
    takers: tuple[str, ...]


class SharedLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """A load report with its age at the sender."""

    target: str
    in_flight: int
    queued: int
    age_ms: int


@wire_message
class LoadBatch(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load reports; an empty batch shows that the sender still probes."""

    loads: tuple[SharedLoad, ...]


HealthMessage = HealthNews | HealthTaken | LoadBatch
