"""Central allocation of all slots and region loads, with full knowledge.

It replaces the exchange of budgets in the queueing model. The units are
divided among workspaces by max-min fairness, then among instances in
proportion to their part of the workspace's demand, and then among targets,
the nearest first.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

from verbenaworks.target import TargetInfo

# Part of a unit by which an instance is preferred for units that it already
# has. A unit that moves to another instance is idle until the next division.
HELD_UNIT_BONUS = 0.95

Share = tuple[int, str, str]


def divide_units(
    slots: Mapping[str, int],
    limit: int,
    demand: Mapping[Share, int],
    before: Mapping[Share, int],
) -> Counter[Share]:
    """Return the units by instance, service and workspace.

    :param slots: slots of each service.
    :param limit: sum of the regions' limits.
    :param demand: units that each instance can use for each workspace.
    :param before: result of the previous division.
    """
    free = Counter(slots)
    granted: Counter[Share] = Counter()
    workspaces: list[tuple[int, str]] = []
    queues: dict[str, list[tuple[float, Share]]] = defaultdict(list)

    def next_key(share: Share) -> float:
        bonus = (
            HELD_UNIT_BONUS if granted[share] < before.get(share, 0) else 0.0
        )
        return (granted[share] + 1.0 - bonus) / demand[share]

    for share, amount in demand.items():
        if amount > 0:
            queues[share[2]].append((next_key(share), share))
    for workspace, queue in queues.items():
        heapq.heapify(queue)
        workspaces.append((0, workspace))
    heapq.heapify(workspaces)
    while workspaces and limit > 0:
        count, workspace = heapq.heappop(workspaces)
        queue = queues[workspace]
        while queue:
            _, share = heapq.heappop(queue)
            if free[share[1]] > 0:
                break
        else:
            continue
        granted[share] += 1
        free[share[1]] -= 1
        limit -= 1
        if granted[share] < demand[share]:
            heapq.heappush(queue, (next_key(share), share))
        heapq.heappush(workspaces, (count + 1, workspace))
    return granted


def assign_units(
    amounts: Mapping[tuple[int, str], int],
    targets: Sequence[TargetInfo],
    limits: Mapping[str, int],
    locations: Mapping[int, tuple[str, str]],
    before: Mapping[int, Mapping[str, int]],
) -> dict[int, Counter[str]]:
    """Return the units by instance and target.

    Units in the instance's own region come first, and among them those that
    it already has. An instance gets a unit in another region, or keeps one,
    only if none is free in its own region.

    :param amounts: units by instance and service.
    :param locations: region and failure domain by instance.
    :param before: granted units by instance and target.
    """
    free = {t.name: t.slots for t in targets}
    region_free = dict(limits)
    missing = dict(amounts)
    result: dict[int, Counter[str]] = defaultdict(Counter)
    by_service: dict[str, list[TargetInfo]] = defaultdict(list)
    for target in targets:
        by_service[target.service].append(target)
    for is_local, is_held in (
        (True, True),
        (True, False),
        (False, True),
        (False, False),
    ):
        has_progress = True
        while has_progress:
            has_progress = False
            for (instance, service), amount in missing.items():
                if amount == 0:
                    continue
                region, domain = locations[instance]
                best = None
                best_key = (False, 0)
                for target in by_service[service]:
                    if (target.region == region) != is_local:
                        continue
                    if (
                        free[target.name] == 0
                        or region_free[target.region] == 0
                    ):
                        continue
                    assigned = result[instance][target.name]
                    held = before.get(instance, {}).get(target.name, 0)
                    if is_held and assigned >= held:
                        continue
                    key = (target.failure_domain == domain, free[target.name])
                    if best is None or key > best_key:
                        best, best_key = target, key
                if best is None:
                    continue
                result[instance][best.name] += 1
                free[best.name] -= 1
                region_free[best.region] -= 1
                missing[instance, service] -= 1
                has_progress = True
    return result
