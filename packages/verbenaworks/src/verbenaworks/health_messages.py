"""Messages about the health and load of targets.

Instances are identified by their bus addresses, targets by their names. The
messages are encoded as arrays without field names.
"""

import msgspec

from verbenaworks.wire import wire_message


class HealthChange(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The newest report of one prober on one target.

    :ivar seq: incremented by the prober with each change of this target.
    :ivar health: index of the member of :class:`Health`.
    """

    target: str
    seq: int
    health: int


@wire_message
class HealthNews(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Changes that a prober has detected.

    :ivar origin: the prober; the sender may be a relay.
    :ivar incarnation: incarnation of the prober, to which the sequence
        numbers belong.
    :ivar pass_to: instances to which the receiver forwards the message.
    """

    origin: str
    incarnation: int
    changes: tuple[HealthChange, ...]
    pass_to: tuple[str, ...] = ()


@wire_message
class HealthTaken(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Acknowledges changes of one prober.

    :ivar taken: target and sequence number of each acknowledged change.
    :ivar takers: the instances that have received the changes.
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
