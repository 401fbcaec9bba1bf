"""Messages about the use of the links between regions."""

from dataclasses import dataclass

from verbenaworks.wire import wire_message


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class AskLinkUse:
    """Asks the owner of some parts of links how much they are used.

    :ivar asked_s: time on the sender's clock, returned in the reply.
    """

    asked_s: float
    budgets: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PartUse:
    """Demand for one part of a link.

    :ivar wanted: the demand of all clients; ``limit`` is the rate, in the
        same unit.
    """

    budget: str
    wanted: int
    limit: int


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class LinkUse:
    """Reply to :class:`AskLinkUse`.

    It omits the parts whose demand the owner does not know yet.
    """

    asked_s: float
    parts: tuple[PartUse, ...]
