"""Errors in messages from callers and backend servers.

The code of each error is declared in
:data:`verbenad.refusal.REFUSAL_KINDS`.
"""

from verbenad.refusal import REFUSAL_KINDS
from verbenaworks.errors import VerbenaError

# Bytes are returned as soon as requests end or are found to be stalled.
MEMORY_RETRY_AFTER_S = 1.0


class ProtocolError(VerbenaError):
    """A message violates RFC 9110, RFC 9112 or a limit.

    :param code: code of the refusal.
    :param message: what is wrong; by default, the message of the code.
    """

    def __init__(self, code: str, message: str | None = None) -> None:
        kind = REFUSAL_KINDS[code]
        super().__init__(message or kind.message, kind.remedy)
        self.code = code


class BodyError(ProtocolError):
    """A body cannot be read completely.

    :cvar retry_after_s: seconds after which a retry may succeed; None if it
        would fail again.
    """

    retry_after_s: float | None = None


class BodyTooShortError(BodyError):
    """The sender closed the connection before the end of the body."""

    def __init__(self) -> None:
        super().__init__("body-too-short")


class BodyTooLargeError(BodyError):
    """The body is over the limit."""

    def __init__(self) -> None:
        super().__init__("body-too-large")


class BodyTooSlowError(BodyError):
    """The body arrives below the minimum rate or stalls."""

    def __init__(self) -> None:
        super().__init__("request-too-slow")


class MemoryFullError(BodyError):
    """The process holds too many bytes to read the body."""

    retry_after_s = MEMORY_RETRY_AFTER_S

    def __init__(self) -> None:
        super().__init__("memory-full")


class MalformedChunkError(BodyError):
    """The chunked coding is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__("malformed-chunk", message)


class ChunksTooSmallError(BodyError):
    """The framing of the chunks is far longer than the data in them."""

    def __init__(self) -> None:
        super().__init__("chunks-too-small")


class UpstreamResponseError(ProtocolError):
    """A backend server's response cannot be passed on completely."""


class ResponseTruncatedError(UpstreamResponseError):
    """The response of a backend server is incomplete."""

    def __init__(self, message: str | None = None) -> None:
        super().__init__("answer-truncated", message)


class MalformedResponseError(UpstreamResponseError):
    """The head of a backend server's response is malformed."""

    def __init__(self, message: str) -> None:
        super().__init__("malformed-answer", message)
