"""Exception that ends a request with a refusal."""

from verbenad.refusal import NOT_RUN, Refusal, RunStatus, make_refusal


class RefusalError(Exception):
    """Carries a refusal to the code that sends it to the caller.

    :ivar detail: figures behind the refusal, for the log.
    """

    def __init__(self, refusal: Refusal, detail: str = "") -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.detail = detail


def refusal_error(
    code: str,
    request_id: str,
    *,
    run: RunStatus = NOT_RUN,
    retry_after_s: float | None = None,
    message: str | None = None,
    detail: str = "",
) -> RefusalError:
    """Return the exception for a refusal with ``code``.

    :param detail: figures behind the refusal, for the log.
    """
    return RefusalError(
        make_refusal(
            code,
            run=run,
            request_id=request_id,
            retry_after_s=retry_after_s,
            message=message,
        ),
        detail,
    )
