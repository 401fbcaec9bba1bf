"""How a request fits into its workspace's rate."""

from enum import Enum, auto


class Admission(Enum):
    """What to do with a request.

    ``ACCEPTED`` and ``ACCEPTED_AND_NOTIFY`` let it run; after the latter the
    keeper of the workspace is told at once, because the limit is not far.
    ``ASK_COORDINATOR`` leaves the decision to the keeper.
    """

    ACCEPTED = auto()
    ACCEPTED_AND_NOTIFY = auto()
    ASK_COORDINATOR = auto()
    REFUSED = auto()
