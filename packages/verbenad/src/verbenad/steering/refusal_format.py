"""Refusals as callers of a platform read them."""

from dataclasses import dataclass, replace

from verbenad.field_names import FieldNames
from verbenad.refusal import NOT_RUN, Refusal

# Callers take these statuses as a promise that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A 5xx status that promises nothing.
UNKNOWN_STATUS = 502
REFUSED_STATUS = 503
# Shorter pauses would only repeat the decision on the same load.
MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalFormat:
    """Writes refusals.

    :param names: header fields of the platform.
    """

    names: FieldNames

    def truthful(self, refusal: Refusal) -> Refusal:
        """Return the refusal with a status that says whether it ran."""
        if refusal.run is NOT_RUN:
            if refusal.status >= 500:
                return replace(refusal, status=REFUSED_STATUS)
            return refusal
        if refusal.status in NOT_RUN_STATUSES:
            return replace(refusal, status=UNKNOWN_STATUS)
        return refusal

    def headers(self, refusal: Refusal, body: bytes) -> list[tuple[str, str]]:
        """Return the fields that go with ``body``."""
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
