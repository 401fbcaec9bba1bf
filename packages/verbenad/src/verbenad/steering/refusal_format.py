"""Status and header fields of refusals on a platform."""

from dataclasses import dataclass, replace

from verbenad.field_names import FieldNames
from verbenad.refusal import NOT_RUN, Refusal

# Callers take it as certain that a request refused with one of these statuses
# did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A 5xx status after which callers assume nothing about the request.
OUTCOME_UNKNOWN_STATUS = 502
NOT_RUN_STATUS = 503
# A retry that comes earlier would meet the same load and be refused again.
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalFormat:
    """Adapts refusals to the platform.

    :param names: header fields of the platform.
    """

    names: FieldNames

    def with_accurate_status(self, refusal: Refusal) -> Refusal:
        """Return the refusal with a status that fits its run status."""
        if refusal.run is NOT_RUN:
            if refusal.status >= 500:
                return replace(refusal, status=NOT_RUN_STATUS)
            return refusal
        if refusal.status in NOT_RUN_STATUSES:
            return replace(refusal, status=OUTCOME_UNKNOWN_STATUS)
        return refusal

    def headers(self, refusal: Refusal, body: bytes) -> list[tuple[str, str]]:
        """Return the header fields of a refusal with ``body``."""
        fields = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            (self.names.request_id, refusal.request_id),
        ]
        if refusal.run is NOT_RUN and refusal.retry_after_s is not None:
            # The platform's callers accept fractions of a second.
            wait_s = max(MIN_RETRY_AFTER_S, refusal.retry_after_s)
            fields.append(("Retry-After", f"{wait_s:.3f}"))
        return fields
