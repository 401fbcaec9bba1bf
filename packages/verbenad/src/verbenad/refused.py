"""Ends a request with a refusal."""

from verbenad.refusal import NOT_RUN, Refusal, RunStatus, refuse


class Refused(Exception):  # noqa: N818 (a normal end of a request)
    """Carries a refusal to the place that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def refused(
    code: str,
    request_id: str,
    *,
    run: RunStatus = NOT_RUN,
    retry_after_s: float | None = None,
    message: str | None = None,
) -> Refused:
    """Return the exception for a refusal with ``code``."""
    return Refused(
        refuse(
            code,
            run=run,
            request_id=request_id,
            retry_after_s=retry_after_s,
            message=message,
        )
    )
