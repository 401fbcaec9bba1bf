"""Messages between the clients and the owner of budgets.

They are encoded as arrays without field names, because they make up most of
the control traffic. Amounts of rate budgets are in thousandths of a token
per second; units, depths and tokens are whole numbers.
"""

import msgspec

from verbenaworks.wire import wire_message


class WorkspaceAmount(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """An amount demanded by, or granted to, one workspace."""

    workspace: str
    amount: int


class GrantRequestEntry(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """What a client holds of one budget from now on, and what it demands.

    :param kept: units or rate that the client keeps.
    :param kept_depth: bucket depth that the client keeps.
    :param in_use: units in use.
    :param wants: the demand by workspace.
    :param tokens_returned: tokens that the client returns to the owner.
    :param tokens_wanted: tokens that callers are waiting for.
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
    """Asks the owner of a shard to renew or change the grants of a client.

    :param epoch: the highest epoch from which the client received a reply;
        it proves to the owner that the request was sent after that reply.
    :param taker: name of the client's instance.
    """

    shard: int
    epoch: int
    taker: str
    incarnation: int
    seq: int
    entries: tuple[GrantRequestEntry, ...]


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a client may use of one budget; replaces its earlier grant.

    :param amount: units or rate.
    :param depth: bucket depth.
    :param tokens: tokens added to the bucket.
    :param ttl_s: validity from the moment the request was sent.
    :param parts: the units by workspace, if several demand more than there is.
    """

    budget: str
    amount: int
    depth: int
    tokens: int
    ttl_s: float
    parts: tuple[WorkspaceAmount, ...] = ()


@wire_message
class GrantReply(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Reply to the request ``seq`` of one incarnation.

    A reply without entries only tells the client the epoch of the owner; the
    client then reports what it holds.
    """

    shard: int
    epoch: int
    incarnation: int
    seq: int
    entries: tuple[Grant, ...]
