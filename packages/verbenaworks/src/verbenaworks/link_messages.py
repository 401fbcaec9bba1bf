"""Messages about the use of links."""

from dataclasses import dataclass

from verbenaworks.wire import wire_message


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class AskLinkUse:
    """Asks the owner of some parts of links for their use.

    :ivar asked_s: the sender's clock; it comes back in the answer.
    """

    asked_s: float
    budgets: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PartUse:
    """The use of one part of a link.

    :ivar wanted: the demand of all takers; ``limit`` is the rate, in the
        same unit.
    """

    budget: str
    wanted: int
    limit: int


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class LinkUse:
    """What an owner knows of the parts that it was asked for.

    Parts of which it does not yet know the demand are left out.
    """

    asked_s: float
    parts: tuple[PartUse, ...]
