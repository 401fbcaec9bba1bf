"""Derives the budgets from a configuration."""

from collections.abc import Iterator
from itertools import permutations
from math import floor

from verbenaworks.budget_spec import Budget, ConcurrencyBudget, RateBudget
from verbenaworks.compiled_config import CompiledConfig, WorkspaceConfig
from verbenaworks.link_meter import TOKEN_BYTES

STORE_CLAIMS_BUDGET = "runs/store-claims"
STORE_CLAIMS_PER_S = 100
# The parts of a workspace's rate and of a region's load belong to different
# shards, so that only a part of them is unavailable after the failure of an
# owner. More parts of a rate cause more refusals below the rate, because a
# small burst is then divided among parts and instances into depths of 0 or 1.
RATE_PARTS = 2
MIN_PART_BURST = 8
REGION_PARTS = 8
LINK_PARTS = 4
# Routers buffer about this much of a link's traffic; a longer burst would be
# dropped or delayed.
LINK_BURST_S = 0.1
# On a slow link, each part must still hold the tokens for one read of a body.
MIN_LINK_BURST = 16 * LINK_PARTS


def rate_parts(workspace: WorkspaceConfig) -> list[RateBudget]:
    """Return the parts of a workspace's rate; they add up to the whole."""
    burst = floor(workspace.burst)
    parts = max(1, min(RATE_PARTS, burst // MIN_PART_BURST))
    whole, rest = divmod(burst, parts)
    return [
        RateBudget(
            name=f"rate/{workspace.name}/{part}",
            rate_per_s=workspace.rate_per_s / parts,
            burst=whole + (part < rest),
        )
        for part in range(parts)
    ]


def slots_budget_name(target: str) -> str:
    """Return the name of a target's slots; ``target`` is service/name."""
    return f"slots/{target}"


def region_budget_name(part: str) -> str:
    """Return the name of a part of a region's load."""
    return f"region/{part}"


def region_parts(config: CompiledConfig, region: str) -> dict[str, int]:
    """Return the capacity of each part of a region's load, by part name.

    The parts add up to the slots of the region without its headroom.
    """
    slots = sum(
        target.slots
        for service in config.services.values()
        for target in service.targets.values()
        if target.region == region
    )
    settings = config.regions[region]
    # Headroom is rounded down: a region with few slots keeps at least one.
    free = floor(slots * settings.headroom_share)
    whole, rest = divmod(min(slots - free, settings.slot_limit), REGION_PARTS)
    return {
        f"{region}/{part}": whole + (part < rest)
        for part in range(REGION_PARTS)
    }


def link_name(source: str, target: str) -> str:
    """Return the name of the link from one region to another."""
    return f"link/{source}/{target}"


def link_bytes_per_s(config: CompiledConfig, source: str, target: str) -> int:
    """Return the rate of a link: the lower of what its regions set."""
    return min(
        config.regions[source].link_bytes_per_s,
        config.regions[target].link_bytes_per_s,
    )


def link_burst(bytes_per_s: int) -> int:
    """Return the burst of a whole link in tokens."""
    return max(MIN_LINK_BURST, floor(bytes_per_s * LINK_BURST_S / TOKEN_BYTES))


def link_parts(
    config: CompiledConfig, source: str, target: str
) -> list[RateBudget]:
    """Return the parts of a link's rate; they add up to the whole."""
    bytes_per_s = link_bytes_per_s(config, source, target)
    whole, rest = divmod(link_burst(bytes_per_s), LINK_PARTS)
    return [
        RateBudget(
            name=f"{link_name(source, target)}/{part}",
            rate_per_s=bytes_per_s / TOKEN_BYTES / LINK_PARTS,
            burst=whole + (part < rest),
        )
        for part in range(LINK_PARTS)
    ]


def plan_budgets(config: CompiledConfig) -> list[Budget]:
    """Return all budgets of a configuration."""
    return [
        *_rates(config),
        *_slots(config),
        *_regions(config),
        *_links(config),
        RateBudget(
            name=STORE_CLAIMS_BUDGET,
            rate_per_s=STORE_CLAIMS_PER_S,
            burst=STORE_CLAIMS_PER_S,
        ),
    ]


def _rates(config: CompiledConfig) -> Iterator[Budget]:
    for workspace in config.workspaces.values():
        yield from rate_parts(workspace)


def _slots(config: CompiledConfig) -> Iterator[Budget]:
    for service in config.services.values():
        for target in service.targets.values():
            yield ConcurrencyBudget(
                name=slots_budget_name(f"{service.name}/{target.name}"),
                capacity=target.slots,
                linger_s=config.longest_deadline_s(service.name),
            )


def _regions(config: CompiledConfig) -> Iterator[Budget]:
    linger_s = max(
        (config.longest_deadline_s(name) for name in config.services),
        default=0.0,
    )
    for region in config.regions:
        for part, capacity in region_parts(config, region).items():
            yield ConcurrencyBudget(
                name=region_budget_name(part),
                capacity=capacity,
                linger_s=linger_s,
            )


def _links(config: CompiledConfig) -> Iterator[Budget]:
    for source, target in permutations(config.regions, 2):
        yield from link_parts(config, source, target)
