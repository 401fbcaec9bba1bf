"""Messages about one workspace's rate, between an instance and its keeper."""

import msgspec

from verbenaworks.wire import wire_message


@wire_message
class RateNotice(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """An instance tells the keeper what it has accepted, or asks for more.

    :ivar number: by which the answer names the notice.
    :ivar total: requests accepted since the instance started.
    :ivar count: those of them that lie in the window.
    :ivar asks: whether it wants to accept one more.
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
    """The keeper's answer to a notice.

    :ivar granted: whether one more request may be accepted.
    :ivar used: requests of the workspace in the window, over all instances.
    """

    number: int
    workspace: str
    granted: bool
    used: float
