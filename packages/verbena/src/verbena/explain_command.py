"""Command that explains where a request would go."""

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from verbena.cli_errors import UsageError
from verbena.console_output import print_json, print_table
from verbena.explain_client import get_explanation

# Columns of the table of candidates: heading and field.
_CANDIDATE_COLUMNS = (
    ("server", "server"),
    ("distance", "distance"),
    ("rank", "rank"),
    ("cached", "cached"),
    ("expected_s", "expected_s"),
    ("wait_s", "wait_s"),
    ("predicted_s", "predicted_s"),
    ("cost_s", "cost_s"),
    ("slots", "usable_slots"),
    ("of", "configured_slots"),
    ("free", "free_slots"),
    ("slowdown", "slowdown"),
)


@dataclass(frozen=True, kw_only=True)
class Explain:
    """Print where a request would go now, and why, without sending it.

    Nothing is counted: no rate, no budget and no average changes.

    Example: `verbena explain --metrics 10.0.0.1:9464 --host shop.example
    --path /browse/x --workspace acme --key 17`
    """

    host: Annotated[str, cappa.Arg(long=True, help="Host of the request.")]
    path: Annotated[str, cappa.Arg(long=True, help="Path of the request.")]
    workspace: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Workspace of the caller; not needed on public routes.",
        ),
    ] = ""
    key: Annotated[
        str,
        cappa.Arg(long=True, help="Affinity key of the request, if any."),
    ] = ""
    domain: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Failure domain in which the request is decided. "
            "Default: that of the instance.",
        ),
    ] = ""
    metrics: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="HOST:PORT",
            help="Metrics address of the instance that decides. "
            "Default: VERBENA_METRICS.",
        ),
    ] = ""
    json: Annotated[
        bool, cappa.Arg(long=True, help="Print JSON instead of tables.")
    ] = False

    def run(self) -> None:
        """Run the command."""
        instance = self.metrics or os.environ.get("VERBENA_METRICS", "")
        if not instance:
            raise UsageError(
                "no instance is named",
                "use --metrics HOST:PORT or set VERBENA_METRICS",
            )
        query = {
            "host": self.host,
            "path": self.path,
            "workspace": self.workspace,
            "key": self.key,
            "domain": self.domain,
        }
        explanation = get_explanation(
            instance, {name: value for name, value in query.items() if value}
        )
        if self.json:
            print_json(explanation)
        else:
            _print_explanation(explanation)


def _print_explanation(explanation: Mapping[str, Any]) -> None:
    decision = dict(explanation["decision"])
    outcome = decision.pop("outcome")
    place = decision.pop("server", None)
    print(
        f"{outcome}: {place} ({decision.pop('reason')})"
        if place
        else f"{outcome}: {decision.pop('reason')}"
    )
    rows = [
        ("instance", explanation["instance"]),
        ("route", explanation["route"]),
        ("service", explanation["service"]),
        ("workspace", explanation["workspace"] or "(none)"),
        ("configuration", explanation["config_version"]),
    ]
    rows += [(f"rate: {k}", v) for k, v in explanation["rate"].items()]
    rows += [(k, _text(v)) for k, v in decision.items()]
    placement = explanation["placement"]
    rows += [
        (f"level: {k}", _text(v))
        for k, v in placement.get("levels", {}).items()
    ]
    rows += [
        (f"share: {k}", _text(v))
        for k, v in placement.get("shares", {}).items()
    ]
    _print_rows(("field", "value"), rows)
    if not placement:
        return
    print()
    _print_rows(
        [heading for heading, _ in _CANDIDATE_COLUMNS],
        [
            [_text(server.get(name)) for _, name in _CANDIDATE_COLUMNS]
            for server in placement["candidates"]
        ],
    )
    if placement["excluded"]:
        print()
        _print_rows(
            ("excluded", "failure domain", "reason"),
            [
                (e["server"], e["failure_domain"], e["reason"])
                for e in placement["excluded"]
            ],
        )
    print()
    for change in placement["changes"]:
        print(change)


def _print_rows(
    headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    if rows:
        print_table(headings, rows)


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)
