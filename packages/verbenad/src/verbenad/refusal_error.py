"""Ends a request with a refusal."""

from verbenad.refusal import NOT_RUN, Refusal, RunStatus, make_refusal


class RefusalError(Exception):
    """Carries a refusal to the code that sends it to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def refusal_error(
    code: str,
    request_id: str,
    *,
    run: RunStatus = NOT_RUN,
    retry_after_s: float | None = None,
    message: str | None = None,
) -> RefusalError:
    """Return the exception for a refusal with ``code``."""
    return RefusalError(
        make_refusal(
            code,
            run=run,
            request_id=request_id,
            retry_after_s=retry_after_s,
            message=message,
        )
    )
