"""Schema of all fields of the configuration."""

from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from verbenaworks.errors import SettingError
from verbenaworks.settings_path import BLOCKS, level_of
from verbenaworks.value_kind import (
    Address,
    Choice,
    ChoiceList,
    Flag,
    Integer,
    Kind,
    Number,
    Reference,
    ReferenceList,
    Text,
    Value,
    check,
    parse,
)

BURST_MIN_S = 0.2
DIGEST_PATTERN = "[0-9a-f]{32}:[0-9a-f]{64}"
METHODS = (
    "DELETE",
    "GET",
    "HEAD",
    "OPTIONS",
    "PATCH",
    "POST",
    "PUT",
    "TRACE",
)
_DIGEST = Text(
    pattern=DIGEST_PATTERN,
    hint="a salted digest <32 hex digits>:<64 hex digits>",
)
_HOST = Text(
    pattern=(
        r"(?=.{1,253}$)[a-z0-9]([a-z0-9-]{0,62})(\.[a-z0-9][a-z0-9-]{0,62})*"
    ),
    hint="a host name in lower case without port",
)


@dataclass(frozen=True, kw_only=True, slots=True)
class FieldSpec:
    """One field of the configuration.

    :ivar default: the value if no branch sets one.
    :ivar levels: the levels at which the field may be set.
    :ivar required_at: the levels at which a value must be set.
    """

    name: str
    kind: Kind
    description: str
    levels: tuple[str, ...]
    default: Value | None = None
    required_at: tuple[str, ...] = ()


_POLICY_LEVELS = ("deployment", "service", "workspace", "workspace-service")

_SPECS = (
    FieldSpec(
        name="rate_per_s",
        kind=Number(minimum=0.0, maximum=1e7),
        default=50.0,
        levels=("deployment", "workspace"),
        description="Requests per second of a workspace over the fleet.",
    ),
    FieldSpec(
        name="burst",
        kind=Number(minimum=0.0, maximum=1e7),
        default=50.0,
        levels=("deployment", "workspace"),
        description=(
            "Requests that a workspace may send at once over the fleet; at "
            "least 0.2 s of rate_per_s, and 1 unless the rate is 0."
        ),
    ),
    FieldSpec(
        name="allowed_services",
        kind=ReferenceList(collection="services"),
        default=("*",),
        levels=("deployment", "workspace"),
        description="Services that a workspace may call; * allows all.",
    ),
    FieldSpec(
        name="deadline_s",
        kind=Number(minimum=0.01, maximum=3600.0),
        default=30.0,
        levels=_POLICY_LEVELS,
        description="Longest time from a request to its whole answer.",
    ),
    FieldSpec(
        name="max_body_bytes",
        kind=Integer(minimum=0, maximum=1 << 40),
        default=10_000_000,
        levels=_POLICY_LEVELS,
        description="Longest request body.",
    ),
    FieldSpec(
        name="retry_share",
        kind=Number(minimum=0.0, maximum=1.0),
        default=0.1,
        levels=_POLICY_LEVELS,
        description="Retries as a share of first attempts.",
    ),
    FieldSpec(
        name="idempotent_methods",
        kind=ChoiceList(choices=METHODS),
        default=("DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"),
        levels=("deployment", "service"),
        description="Methods whose requests may run more than once.",
    ),
    FieldSpec(
        name="open",
        kind=Flag(),
        default=False,
        levels=("service",),
        description="Whether requests need no key.",
    ),
    FieldSpec(
        name="host",
        kind=_HOST,
        levels=("service",),
        description="Host name that selects the service.",
    ),
    FieldSpec(
        name="weight",
        kind=Number(minimum=0.0, maximum=1e6),
        default=1.0,
        levels=("service", "site"),
        description=(
            "Relative amount of work: of a service among the services, of "
            "a site (split evenly over its blocks) among the sites."
        ),
    ),
    FieldSpec(
        name="address",
        kind=Address(),
        levels=("target",),
        required_at=("target",),
        description="Address of a backend server.",
    ),
    FieldSpec(
        name="region",
        kind=Reference(collection="regions"),
        levels=("target", "site"),
        required_at=("target", "site"),
        description="Region of a backend server or of a client site.",
    ),
    FieldSpec(
        name="failure_domain",
        kind=Text(
            pattern="[a-z0-9][a-z0-9-]{0,62}",
            hint="a name of 1 to 63 characters of a-z, 0-9 and -",
        ),
        levels=("target",),
        required_at=("target",),
        description="Failure domain of a backend server.",
    ),
    FieldSpec(
        name="slots",
        kind=Integer(minimum=1, maximum=100_000),
        default=1,
        levels=("service", "target"),
        description="Requests that a backend server runs at once.",
    ),
    FieldSpec(
        name="connections",
        kind=Integer(minimum=1, maximum=1_000_000),
        default=360,
        levels=("deployment", "service", "target"),
        description="Connections that a backend server accepts.",
    ),
    FieldSpec(
        name="drain",
        kind=Flag(),
        default=False,
        levels=("region", "target"),
        description=(
            "Whether a backend server, or all of a region, receives no new "
            "work."
        ),
    ),
    FieldSpec(
        name="headroom_share",
        kind=Number(minimum=0.0, maximum=1.0),
        default=0.2,
        levels=("deployment", "region"),
        description="Share of a region's capacity that is kept free.",
    ),
    FieldSpec(
        name="link_bytes_per_s",
        kind=Integer(minimum=1, maximum=10**13),
        default=500_000_000,
        levels=("deployment", "region"),
        description=(
            "Bandwidth in each direction of the links between a region and "
            "each other region; between two regions, the lower value counts."
        ),
    ),
    FieldSpec(
        name="slot_limit",
        kind=Integer(minimum=0, maximum=10**9),
        default=10**9,
        levels=("deployment", "region"),
        description=(
            "Largest sum of the slots of the backend servers in a region."
        ),
    ),
    FieldSpec(
        name="emergency_cap_share",
        kind=Number(minimum=0.0, maximum=1.0),
        default=1.0,
        levels=("deployment", "region"),
        description="Share of a lost region's blocks that moves at once.",
    ),
    FieldSpec(
        name="from_region",
        kind=Reference(collection="regions"),
        levels=("shift",),
        required_at=("shift",),
        description="Region that a traffic shift takes blocks from.",
    ),
    FieldSpec(
        name="to_region",
        kind=Reference(collection="regions"),
        levels=("shift",),
        required_at=("shift",),
        description="Region that a traffic shift moves blocks to.",
    ),
    FieldSpec(
        name="cap_share",
        kind=Number(minimum=0.0, maximum=1.0),
        default=0.1,
        levels=("deployment", "shift"),
        description="Largest share of the source region that moves.",
    ),
    FieldSpec(
        name="step_share",
        kind=Number(minimum=0.0001, maximum=1.0),
        default=0.02,
        levels=("deployment", "shift"),
        description="Share that moves in one step; at most cap_share.",
    ),
    FieldSpec(
        name="state",
        kind=Choice(choices=("planned", "running", "paused", "aborted")),
        default="planned",
        levels=("shift",),
        description="Whether a traffic shift goes on.",
    ),
    FieldSpec(
        name="step",
        kind=Integer(minimum=0, maximum=10_000),
        default=0,
        levels=("shift",),
        description="Step that a traffic shift has reached.",
    ),
    FieldSpec(
        name="digest",
        kind=_DIGEST,
        levels=("key",),
        required_at=("key",),
        description="Salted digest of a caller's key.",
    ),
    FieldSpec(
        name="role",
        kind=Choice(choices=("read", "write")),
        default="read",
        levels=("operator",),
        description="Whether an operator may change the configuration.",
    ),
    FieldSpec(
        name="token_digest",
        kind=_DIGEST,
        levels=("operator",),
        required_at=("operator",),
        description="Salted digest of an operator's token.",
    ),
    FieldSpec(
        name="lookup_ttl_s",
        kind=Number(minimum=0.5, maximum=300.0),
        default=5.0,
        levels=("deployment",),
        description="Cache lifetime of a lookup answer.",
    ),
    FieldSpec(
        name="stale_policy",
        kind=Choice(choices=("refuse", "serve")),
        default="refuse",
        levels=("deployment",),
        description="What an instance does with keys while it is not fresh.",
    ),
    FieldSpec(
        name="stale_serve_s",
        kind=Number(minimum=0.0, maximum=3600.0),
        default=0.0,
        levels=("deployment",),
        description=(
            "How long an instance that is not fresh serves under "
            "stale_policy = serve."
        ),
    ),
    FieldSpec(
        name="shutdown_limit_s",
        kind=Number(minimum=0.0, maximum=86_400.0),
        default=600.0,
        levels=("deployment",),
        description="Longest graceful shutdown of an instance.",
    ),
    FieldSpec(
        name="run_window_s",
        kind=Number(minimum=60.0, maximum=2_592_000.0),
        default=86_400.0,
        levels=("deployment",),
        description=(
            "How long an Idempotency-Key without a ticket is remembered."
        ),
    ),
)

FIELDS = {spec.name: spec for spec in _SPECS}
BLOCK_SITE = Reference(collection="sites")


def field_at(path: str, name: str) -> Result[FieldSpec, SettingError]:
    """Return the spec of a field that may be set at ``path``."""
    match level_of(path):
        case Err(error):
            return Err(error)
        case Ok(level):
            pass
    spec = FIELDS.get(name)
    if spec is not None and level in spec.levels:
        return Ok(spec)
    allowed_fields = ", ".join(fields_of_level(level)) or "none"
    if path == BLOCKS:
        allowed_fields = "client blocks in CIDR notation"
    return Err(
        SettingError(
            f"{path} has no field {name!r}",
            f"the fields here are: {allowed_fields}",
        )
    )


def fields_of_level(level: str) -> tuple[str, ...]:
    """Return the names of the fields that may be set at a level."""
    return tuple(s.name for s in _SPECS if level in s.levels)


def required_fields(level: str) -> tuple[str, ...]:
    """Return the names of the fields that are required at a level."""
    return tuple(s.name for s in _SPECS if level in s.required_at)


def check_value(
    path: str, name: str, value: Any
) -> Result[Value, SettingError]:
    """Return ``value`` in its normalized form, or why it is not allowed."""
    return field_at(path, name).and_then(
        lambda spec: check(spec.kind, value).map_err(
            lambda allowed: _invalid_value_error(path, name, value, allowed)
        )
    )


def parse_value(
    path: str, name: str, text: str
) -> Result[Value, SettingError]:
    """Parse the text that an operator entered for a field."""
    if path == BLOCKS:
        return Ok(text)
    return field_at(path, name).and_then(
        lambda spec: parse(spec.kind, text).map_err(
            lambda allowed: _invalid_value_error(path, name, text, allowed)
        )
    )


def _invalid_value_error(
    path: str, name: str, value: Any, allowed: str
) -> SettingError:
    return SettingError(
        f"{name} = {value!r} is not allowed at {path}", f"use {allowed}"
    )
