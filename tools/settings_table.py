"""Generates docs/settings.md from the declarations of the settings.

Usage: python tools/settings_table.py
"""

from collections.abc import Iterator
from pathlib import Path

from verbenad import (
    chunked_decoder,
    held_bytes,
    memory_shares,
    receive_windows,
)
from verbenad.daemon_settings import PROCESS_SETTINGS, default_text
from verbenad.steering import caller_http_limits, endpoint_servers
from verbenaworks.settings_path import LEVEL_FORMS
from verbenaworks.settings_schema import FIELDS, FieldSpec, fields_of_level
from verbenaworks.value_kind import allowed, format_value

PAGE = Path(__file__).parent.parent / "docs" / "settings.md"

_INTRODUCTION = """\
# Settings

This page is generated from the declarations in
`verbenaworks.settings_schema` and `verbenad.daemon_settings` by
`python tools/settings_table.py`; do not edit it.

## Process settings

Each process reads these once at its start. A flag takes precedence over the
variable. A wrong value ends the process with exit code 2.
"""

_CONFIGURATION = """\
## Configuration

Operators change these with `verbena` while the deployment runs. A branch
that does not set a field inherits it: from the path without its last name and
collection, and so on up to the deployment `/`.
`/workspaces/<workspace>/services/<service>` looks in
`/workspaces/<workspace>` first and then in `/services/<service>`. A value
that no branch sets is the default. "required" means that each such branch
sets the field itself.
"""

_BLOCKS = """\
At `/blocks` each field is a client block in CIDR notation, and its value is
the name of a site. The most specific block that contains an address counts.
"""

_MEMORY_LIMITS = """\
## Memory and chunks of an entry instance

These limits have no setting of their own, except the machine's memory:
`limits.memoryMb` of the platform's settings file, or `--memory-mb` without a
platform. `limits.maxFds` or `--max-connections` limit the connections, too.
No caller that keeps to `maxHeaderBytes`, `maxBodyBytes`, `headerTimeoutS` and
`idleTimeoutS` reaches one of them while the instance is calm.
`docs/design/held-bytes.md` describes how they work.
"""

# Name, value and meaning.
_MEMORY_ROWS = (
    (
        "`limits.memoryMb`",
        f"{held_bytes.DEFAULT_MEMORY_MB:g} MB if absent",
        "Memory of the machine. Without a platform, `--memory-mb`.",
    ),
    (
        "`limits.maxFds`",
        f"{caller_http_limits.RESERVED_DESCRIPTORS} are not for callers",
        "Descriptors of the process. The rest are connections of callers, at"
        f" least {caller_http_limits.MIN_CALLER_CONNECTIONS}.",
    ),
    (
        "connections of callers",
        f"one for {memory_shares.CONNECTION_BYTES >> 10} KiB of"
        f" {memory_shares.CONNECTION_SHARE:g} of the memory",
        "At the limit a new connection replaces the one that has been idle"
        " for longest, or a request that has made no progress for"
        f" {held_bytes.MIN_IDLE_S:g} s. If there is neither, it is refused"
        " with 503 `too-many-connections`.",
    ),
    (
        "receive buffer of a caller's connection",
        f"{memory_shares.NARROW_SHARE:g} of the memory for all,"
        f" {receive_windows.MIN_NARROW_BYTES >> 10} to"
        f" {receive_windows.MAX_NARROW_BYTES >> 10} KiB each",
        "Bytes that the kernel receives ahead; it may hold twice as many."
        " Look-ups, readiness, metrics and relays use"
        f" {receive_windows.MIN_NARROW_BYTES >> 10} KiB, connections to"
        f" backend servers {receive_windows.RESPONSE_BYTES >> 10} KiB.",
    ),
    (
        "wide receive buffers",
        f"{receive_windows.WIDE_BYTES >> 10} KiB each,"
        f" {memory_shares.WIDE_SHARE:g} of the memory for all",
        "For connections on which a long body arrives. If none is left, the"
        " idle connection that has had one for longest is closed; otherwise"
        " the body arrives through the usual buffer.",
    ),
    (
        "look-ups, readiness, metrics, relays",
        f"{endpoint_servers.MAX_ENDPOINT_CONNECTIONS} connections each",
        "At the limit the longest idle one is closed.",
    ),
    (
        "bytes held",
        f"{held_bytes.MEMORY_SHARE:g} of the memory, at least"
        f" {held_bytes.MIN_LIMIT_BYTES >> 20} MiB",
        "Bodies, responses and partial heads held for all callers. A request"
        " beyond it is refused with 503 `memory-full` before its body is"
        " received.",
    ),
    (
        "part for small requests",
        f"{held_bytes.SMALL_SHARE:g} of the bytes held",
        "Only requests that hold at most"
        f" {held_bytes.SMALL_HOLDING_BYTES >> 10} KiB use it.",
    ),
    (
        "base of a request",
        f"{held_bytes.REQUEST_BYTES >> 10} KiB",
        "Held by each request in progress, beside its body and response.",
    ),
    (
        "time without progress",
        f"{held_bytes.MIN_IDLE_S:g} s",
        "While the bytes held are at their limit, a request whose caller sends"
        f" or receives less than {held_bytes.PROGRESS_BYTES >> 10} KiB in this"
        " time may be dropped for another: 503 `memory-full` while its body is"
        " received, a closed connection while its response is sent.",
    ),
    (
        "time for a body",
        "the deadline of the request",
        "A body that is not received by then is refused with 408"
        " `request-too-slow`, or ends its request if a part was sent on.",
    ),
    (
        "pipelined requests at once",
        f"one from {held_bytes.SHORT_SHARE:g} of the bytes held",
        "Further requests of a connection wait for its earlier responses.",
    ),
    (
        "framing of chunks",
        f"{chunked_decoder.FREE_FRAMING_BYTES >> 10} KiB and"
        f" {chunked_decoder.MAX_FRAMING_RATIO} times the data",
        "Size lines, extensions and line breaks of a chunked request body; a"
        " chunk of one byte without an extension needs 5 times the data. A"
        " body beyond it is refused with 400 `chunks-too-small`.",
    ),
    (
        "chunks of a turn",
        f"{chunked_decoder.CHUNKS_PER_TURN}",
        "Chunks that are decoded before other connections get their turn.",
    ),
)


def render() -> str:
    """Return the page."""
    lines = [
        _INTRODUCTION,
        *_process_table(),
        "",
        _MEMORY_LIMITS,
        *_memory_table(),
        "",
        _CONFIGURATION,
        "### Levels",
        "",
        *_level_table(),
        "",
        _BLOCKS,
        "### Fields",
        "",
        *_field_table(),
    ]
    return "\n".join(lines) + "\n"


def _process_table() -> Iterator[str]:
    yield from _row("flag", "variable", "allowed", "default", "description")
    yield from _row(*["---"] * 5)
    for setting in PROCESS_SETTINGS:
        yield from _row(
            f"`{setting.flag}`",
            f"`{setting.variable}`",
            allowed(setting.kind),
            default_text(setting),
            setting.description,
        )


def _memory_table() -> Iterator[str]:
    yield from _row("limit", "value", "description")
    yield from _row(*["---"] * 3)
    for row in _MEMORY_ROWS:
        yield from _row(*row)


def _level_table() -> Iterator[str]:
    yield from _row("level", "path", "fields")
    yield from _row(*["---"] * 3)
    for level, form in LEVEL_FORMS.items():
        fields = ", ".join(f"`{name}`" for name in fields_of_level(level))
        yield from _row(level, f"`{form}`", fields or "client blocks")


def _field_table() -> Iterator[str]:
    yield from _row("field", "levels", "allowed", "default", "description")
    yield from _row(*["---"] * 5)
    for name, spec in FIELDS.items():
        yield from _row(
            f"`{name}`",
            ", ".join(spec.levels),
            allowed(spec.kind),
            _default(spec),
            spec.description,
        )


def _default(spec: FieldSpec) -> str:
    if spec.required_at:
        return "required"
    return "none" if spec.default is None else format_value(spec.default)


def _row(*cells: str) -> Iterator[str]:
    yield "| " + " | ".join(cell.replace("|", r"\|") for cell in cells) + " |"


if __name__ == "__main__":
    PAGE.write_text(render(), encoding="utf-8")
