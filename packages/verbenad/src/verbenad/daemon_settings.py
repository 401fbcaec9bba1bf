"""Settings of the daemon process, from flags and environment variables."""

import argparse
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from verbenaworks.errors import SettingError
from verbenaworks.value_kind import (
    Address,
    Choice,
    Integer,
    Kind,
    Number,
    Text,
    Value,
    allowed,
    format_value,
    parse,
)

ENVIRONMENT_PREFIX = "VERBENAD_"
EXIT_USAGE = 2

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_NAME = Text(
    pattern="[a-z0-9][a-z0-9-]{0,62}",
    hint="a name of 1 to 63 characters of a-z, 0-9 and -",
)
_URL = Text(
    pattern=r"http://([0-9.]+|\[[0-9a-f:.]+\]):[1-9][0-9]{0,4}(/[!-~]*)?",
    hint="an http URL with an IP address and a port, such as "
    "http://10.0.0.5:7700",
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessSetting:
    """The declaration of one setting.

    :ivar default: value used if none is given; None if the setting has no
        default.
    :ivar secret: whether messages must not show the value.
    """

    name: str
    kind: Kind
    description: str
    default: Value | None = None
    optional: bool = False
    secret: bool = False

    @property
    def flag(self) -> str:
        """Return the flag of the setting."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable of the setting."""
        return ENVIRONMENT_PREFIX + self.name.upper()


@dataclass(frozen=True, kw_only=True, slots=True)
class DaemonSettings:
    """Settings of one daemon process.

    ``PROCESS_SETTINGS`` declares and describes each field.
    """

    name: str
    deployment: str
    region: str
    failure_domain: str
    caller_address: str
    admin_address: str
    bus_address: str
    store_url: str
    instances_url: str
    domain_delay_s: float
    region_delay_s: float
    target_source_ip: str | None
    bootstrap_token: str | None
    log_level: str
    max_connections: int
    memory_mb: float | None
    max_header_bytes: int
    header_limit_s: float
    idle_limit_s: float
    body_idle_limit_s: float


PROCESS_SETTINGS = (
    ProcessSetting(
        name="name",
        kind=_NAME,
        description="Name of the instance, unique in the deployment.",
    ),
    ProcessSetting(
        name="deployment",
        kind=_NAME,
        description="Name of the deployment.",
    ),
    ProcessSetting(
        name="region",
        kind=_NAME,
        description="Region of the instance.",
    ),
    ProcessSetting(
        name="failure_domain",
        kind=_NAME,
        description="Failure domain of the instance.",
    ),
    ProcessSetting(
        name="caller_address",
        kind=Address(),
        description="Address at which callers send requests.",
    ),
    ProcessSetting(
        name="admin_address",
        kind=Address(),
        description="Operator port.",
    ),
    ProcessSetting(
        name="bus_address",
        kind=Address(),
        description="Address at which other instances send messages.",
    ),
    ProcessSetting(
        name="store_url",
        kind=_URL,
        description="The platform's key-value store.",
    ),
    ProcessSetting(
        name="instances_url",
        kind=_URL,
        description="The platform's list of instances.",
    ),
    ProcessSetting(
        name="domain_delay_s",
        kind=Number(minimum=0.0, maximum=1.0),
        default=0.001,
        description=(
            "Usual one-way delay between failure domains of a region."
        ),
    ),
    ProcessSetting(
        name="region_delay_s",
        kind=Number(minimum=0.0, maximum=1.0),
        default=0.015,
        description="Usual one-way delay between regions.",
    ),
    ProcessSetting(
        name="target_source_ip",
        kind=Text(
            pattern=rf"{_OCTET}(\.{_OCTET}){{3}}|[0-9A-Fa-f]*:[0-9A-Fa-f:]+",
            hint="an IP address of this machine",
        ),
        optional=True,
        description=(
            "Source address of connections to backend servers; without it, "
            "the operating system chooses."
        ),
    ),
    ProcessSetting(
        name="bootstrap_token",
        kind=Text(
            pattern="[!-~]{16,256}",
            hint="16 to 256 visible ASCII characters",
        ),
        optional=True,
        secret=True,
        description=(
            "Token that opens the operator port while no operator exists; "
            "better set as a variable, because flags are visible to other "
            "users of the machine."
        ),
    ),
    ProcessSetting(
        name="log_level",
        kind=Choice(choices=("debug", "info", "warning", "error")),
        default="info",
        description="Least level of the log lines that are written.",
    ),
    ProcessSetting(
        name="max_connections",
        kind=Integer(minimum=1, maximum=1_000_000),
        default=10_000,
        description="Connections of callers at once, if the memory is enough.",
    ),
    ProcessSetting(
        name="memory_mb",
        kind=Number(minimum=100.0, maximum=1e9),
        optional=True,
        description=(
            "Memory that the process may use; without it, that of the machine."
        ),
    ),
    ProcessSetting(
        name="max_header_bytes",
        kind=Integer(minimum=1_024, maximum=1_048_576),
        default=32_768,
        description="Longest request line and header of a request.",
    ),
    ProcessSetting(
        name="header_limit_s",
        kind=Number(minimum=0.1, maximum=300.0),
        default=10.0,
        description="Longest time in which a caller sends a header.",
    ),
    ProcessSetting(
        name="idle_limit_s",
        kind=Number(minimum=0.1, maximum=3600.0),
        default=60.0,
        description="Time after which an idle caller connection is closed.",
    ),
    ProcessSetting(
        name="body_idle_limit_s",
        kind=Number(minimum=0.1, maximum=300.0),
        default=30.0,
        description="Longest pause while a caller sends a body.",
    ),
)


def read_settings(
    argv: Sequence[str], environ: Mapping[str, str]
) -> Result[DaemonSettings, SettingError]:
    """Return the settings; flags take precedence over variables."""
    flags, unknown = _parser().parse_known_args(list(argv))
    if unknown:
        flag_list = ", ".join(s.flag for s in PROCESS_SETTINGS)
        return Err(
            SettingError(
                f"unknown argument {unknown[0]!r}", f"use {flag_list}"
            )
        )
    known = {setting.variable for setting in PROCESS_SETTINGS}
    for variable in sorted(environ):
        if variable.startswith(ENVIRONMENT_PREFIX) and variable not in known:
            return Err(
                SettingError(
                    f"unknown variable {variable}",
                    "unset it or use one of " + ", ".join(sorted(known)),
                )
            )
    values: dict[str, Any] = {}
    for setting in PROCESS_SETTINGS:
        match _read_value(setting, getattr(flags, setting.name), environ):
            case Ok(value):
                values[setting.name] = value
            case Err(error):
                return Err(error)
    return Ok(DaemonSettings(**values))


def read_settings_or_exit(
    argv: Sequence[str], environ: Mapping[str, str]
) -> DaemonSettings:
    """Return the settings, or print the error and exit with status 2."""
    match read_settings(argv, environ):
        case Ok(settings):
            return settings
        case Err(error):
            print(f"verbenad: {error.message}", file=sys.stderr)
            print(f"  remedy: {error.remedy}", file=sys.stderr)
            sys.exit(EXIT_USAGE)


def default_text(setting: ProcessSetting) -> str:
    """Return the default as text for readers."""
    if setting.default is not None:
        return format_value(setting.default)
    return "none" if setting.optional else "required"


def _read_value(
    setting: ProcessSetting, flag: str | None, environ: Mapping[str, str]
) -> Result[Value | None, SettingError]:
    text = flag if flag is not None else environ.get(setting.variable)
    if text is not None:
        return parse(setting.kind, text).map_err(
            lambda hint: _invalid_value(setting, flag is not None, text, hint)
        )
    if setting.default is None and not setting.optional:
        return Err(
            SettingError(
                f"{setting.flag} is required ({setting.description})",
                f"set {setting.flag} or {setting.variable} to "
                f"{allowed(setting.kind)}",
            )
        )
    return Ok(setting.default)


def _invalid_value(
    setting: ProcessSetting, by_flag: bool, text: str, hint: str
) -> SettingError:
    source = setting.flag if by_flag else setting.variable
    shown = "(not shown)" if setting.secret else repr(text)
    return SettingError(
        f"{source} has the value {shown}, which is not allowed",
        f"set it to {hint}",
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="verbenad",
        description="Entry instance of a verbenaworks deployment.",
        epilog="Example: verbenad --name entry-1 --region nairobi ... ; each "
        "flag can be given as a variable, such as VERBENAD_NAME.",
        allow_abbrev=False,
    )
    for setting in PROCESS_SETTINGS:
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar="VALUE",
            help=f"{setting.description} {allowed(setting.kind)}; default: "
            f"{default_text(setting)}; variable {setting.variable}",
        )
    return parser
