"""Decision on a request by its workspace's rate."""

from enum import Enum, auto


class Admission(Enum):
    """What to do with a request.

    ``ACCEPTED`` and ``ACCEPTED_AND_NOTIFY`` let it run; after the latter, the
    workspace's coordinator is notified at once, because the limit is near.
    ``ASK_COORDINATOR`` leaves the decision to the coordinator.
    """

    ACCEPTED = auto()
    ACCEPTED_AND_NOTIFY = auto()
    ASK_COORDINATOR = auto()
    REFUSED = auto()
