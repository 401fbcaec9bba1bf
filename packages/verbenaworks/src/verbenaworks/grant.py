"""Messages between the taker and the owner of budgets.

They are encoded as arrays without field names, because they make up most of
the control traffic. Amounts of rate budgets are thousandths of a token per
second; units, depths and tokens are whole numbers.
"""

import msgspec

from verbenaworks.wire import wire_message


class WorkspaceAmount(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """An amount of one workspace."""

    workspace: str
    amount: int


class GrantRequestEntry(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What a taker holds of one budget from now on, and what it wants.

    :param kept: units or rate that the taker keeps.
    :param kept_depth: bucket depth that it keeps.
    :param in_use: units in use.
    :param wants: the demand by workspace.
    :param tokens_returned: tokens removed from the bucket for the bank.
    :param tokens_wanted: tokens that callers wait for.
    """

    budget: str
    kept: int
    kept_depth: int = 0
    in_use: int = 0
    wants: tuple[WorkspaceAmount, ...] = ()
    tokens_returned: int = 0
    tokens_wanted: int = 0


@wire_message
class GrantRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """All wants of one taker for the budgets of one shard.

    :param epoch: the highest epoch from which the taker received a reply;
        it proves to the owner that the request was sent after that reply.
    """

    shard: int
    epoch: int
    taker: str
    incarnation: int
    seq: int
    entries: tuple[GrantRequestEntry, ...]


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The new total of one budget at the taker.

    :param amount: units or rate.
    :param depth: bucket depth.
    :param tokens: tokens added to the bucket.
    :param ttl_s: validity from the moment the request was sent.
    :param parts: the units by workspace, where several want the budget.
    """

    budget: str
    amount: int
    depth: int
    tokens: int
    ttl_s: float
    parts: tuple[WorkspaceAmount, ...] = ()


@wire_message
class GrantReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answer to the request ``seq`` of one incarnation.

    A reply without entries tells a taker the epoch of the owner; the taker
    then reports what it holds.
    """

    shard: int
    epoch: int
    incarnation: int
    seq: int
    entries: tuple[Grant, ...]
