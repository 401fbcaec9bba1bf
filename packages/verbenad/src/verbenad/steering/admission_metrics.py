"""Metrics of the admission by rank and share."""

from verbenad.metrics import Metrics
from verbenaworks.steering.rank_admission import RankAdmission


def declare_admission_metrics(
    metrics: Metrics, rank_admission: RankAdmission
) -> None:
    """Declare the metrics and count the refusals from now on."""
    refusals = metrics.counter(
        "verbenad_placement_refusals_total",
        "Requests that got no server, by service, rank and reason.",
        ("service", "rank", "reason"),
    )

    def count(service: str, rank: int, reason: str) -> None:
        refusals.add((service, str(rank), reason))

    rank_admission.on_refusal = count
    metrics.gauges_source(
        "verbenad_shortage_level",
        "Shortage of capacity of a service, from 0 to 1.",
        "service",
        rank_admission.shortage_levels,
    )
    metrics.gauges_source(
        "verbenad_share_limit_per_second",
        "Largest share of a workspace in the fleet while a service is short.",
        "service",
        rank_admission.share_limits_per_s,
    )
