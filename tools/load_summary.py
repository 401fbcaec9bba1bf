"""Computes the figures of a load experiment from its callers' samples."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from standins.load_plan import LoadSample

STATUS_OK = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSummary:
    """Figures of one experiment.

    :ivar goodput_per_s: requests with a successful response within their
        deadline.
    :ivar latency_ms: latencies of these requests, by percentile.
    :ivar wrongful_share: share of requests without such a response, among
        those of workspaces within their rate.
    :ivar worst_share: smallest share of requests with such a response, of
        all workspaces within their rate.
    :ivar codes: outcomes of the requests without such a response.
    """

    goodput_per_s: float
    latency_ms: Mapping[int, float]
    wrongful_share: float
    worst_share: float
    codes: Counter[str]


def summarize(
    samples: Iterable[LoadSample],
    *,
    duration_s: float,
    deadlines_s: Mapping[str, float],
    over_rate: Sequence[str] = (),
) -> LoadSummary:
    """Return the figures of an experiment.

    :param deadlines_s: deadline of each service in seconds.
    :param over_rate: workspaces that sent more than their rate.
    """
    latencies: list[float] = []
    codes: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    succeeded: Counter[str] = Counter()
    for sample in samples:
        sent[sample.workspace] += 1
        in_time = sample.latency_s <= deadlines_s[sample.service]
        if sample.status == STATUS_OK and in_time:
            succeeded[sample.workspace] += 1
            latencies.append(sample.latency_s)
        else:
            codes[_outcome(sample)] += 1
    within_rate = [name for name in sent if name not in over_rate]
    total = sum(sent[name] for name in within_rate)
    return LoadSummary(
        goodput_per_s=sum(succeeded.values()) / duration_s,
        latency_ms={p: percentile(latencies, p) * 1000 for p in (50, 99)},
        wrongful_share=(
            1 - sum(succeeded[name] for name in within_rate) / total
            if total
            else math.nan
        ),
        worst_share=min(
            (succeeded[name] / sent[name] for name in within_rate),
            default=math.nan,
        ),
        codes=codes,
    )


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method; NaN without values."""
    if not values:
        return math.nan
    rank = math.ceil(percent / 100 * len(values))
    return sorted(values)[max(rank, 1) - 1]


def peak_in_flight(
    runs: Iterable[tuple[str, float, float]],
) -> dict[str, int]:
    """Return the highest number of concurrent runs in each region.

    :param runs: region, start and end in seconds.
    """
    changes: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for region, start_s, end_s in runs:
        changes[region] += [(start_s, 1), (end_s, -1)]
    peaks = {}
    for region, region_changes in changes.items():
        count = peak = 0
        # At equal times, ends sort before starts.
        for _, change in sorted(region_changes):
            count += change
            peak = max(peak, count)
        peaks[region] = peak
    return peaks


def _outcome(sample: LoadSample) -> str:
    if sample.status == STATUS_OK:
        return "answered late"
    code = sample.code or str(sample.status)
    return f"{sample.run} ({code})" if sample.run else code
