"""Messages between an instance and a workspace's coordinator."""

import msgspec

from verbenaworks.wire import wire_message


@wire_message
class RateNotice(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Reports accepted requests to the coordinator, or asks for one more.

    :ivar number: identifies the notice in the answer.
    :ivar total: requests accepted since the instance started.
    :ivar count: those of them that are in the window.
    :ivar asks: whether the instance asks to accept one more.
    """

    name: str
    incarnation: int
    number: int
    workspace: str
    total: int
    count: int
    asks: bool


@wire_message
class RateAnswer(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The coordinator's answer to a notice.

    :ivar granted: whether one more request may be accepted.
    :ivar used: requests of the workspace in the window, over all instances.
    """

    number: int
    workspace: str
    granted: bool
    used: float
