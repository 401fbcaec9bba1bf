"""Which requests an instance still takes while it shuts down."""

import math
from dataclasses import dataclass

from verbenaworks.steering.route import Route

# Shares of the shutdown time. New requests are served until the first one, so
# that callers can look up other instances, and refused after it. Running
# requests may finish until the second one.
SERVE_NEW_SHARE = 0.4
FINISH_RUNNING_SHARE = 0.93


@dataclass(frozen=True, kw_only=True, slots=True)
class ShutdownPlan:
    """Times of a shutdown; infinite while none is planned.

    :param refuse_from_s: time from which on all new requests are refused.
    :param finish_by_s: time at which running requests are cut off.
    """

    refuse_from_s: float = math.inf
    finish_by_s: float = math.inf

    @classmethod
    def starting_at(cls, now_s: float, total_s: float) -> "ShutdownPlan":
        """Return the plan of a shutdown.

        :param total_s: time until the process is killed.
        """
        return cls(
            refuse_from_s=now_s + SERVE_NEW_SHARE * total_s,
            finish_by_s=now_s + FINISH_RUNNING_SHARE * total_s,
        )

    def takes_new(self, now_s: float) -> bool:
        """Whether new requests are taken at all."""
        return now_s < self.refuse_from_s

    def can_finish(
        self, route: Route, started_s: float, deadline_s: float
    ) -> bool:
        """Whether a request will not be cut off.

        An idempotent request usually ends within its latency objective, and
        can be sent again otherwise.
        """
        end_s = deadline_s
        if route.idempotent:
            end_s = min(deadline_s, started_s + route.latency_objective_s)
        return end_s <= self.finish_by_s
