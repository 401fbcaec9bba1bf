"""Errors in what a caller or a backend server sent.

The code of each error is a code of :data:`verbenad.refusal.REFUSAL_KINDS`.
"""

from verbenad.refusal import REFUSAL_KINDS
from verbenaworks.errors import VerbenaError


class ProtocolError(VerbenaError):
    """A message does not follow RFC 9110 or RFC 9112, or is over a limit.

    :param code: code of the refusal.
    :param message: what is wrong; the default is the code's own message.
    """

    def __init__(self, code: str, message: str | None = None) -> None:
        kind = REFUSAL_KINDS[code]
        super().__init__(message or kind.message, kind.remedy)
        self.code = code


class BodyError(ProtocolError):
    """A body cannot be read to its end."""


class BodyTooShortError(BodyError):
    """The sender closed before the end of the body."""

    def __init__(self) -> None:
        super().__init__("body-too-short")


class BodyTooLargeError(BodyError):
    """The body is over the limit."""

    def __init__(self) -> None:
        super().__init__("body-too-large")


class BodyTooSlowError(BodyError):
    """The sender is slower than the minimum progress."""

    def __init__(self) -> None:
        super().__init__("request-too-slow")


class MalformedChunkError(BodyError):
    """The chunked coding is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__("malformed-chunk", message)


class AnswerError(ProtocolError):
    """A backend server's answer cannot be passed on whole."""


class ResponseTruncatedError(AnswerError):
    """The backend server's answer ended before its end."""

    def __init__(self, message: str | None = None) -> None:
        super().__init__("answer-truncated", message)


class MalformedResponseError(AnswerError):
    """The head of the backend server's answer is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__("malformed-answer", message)
