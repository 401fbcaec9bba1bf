"""Exact division of all slots and region loads, with full knowledge.

It stands in for the exchange of budgets in the queueing model: first over
workspaces by max-min fairness, then over instances by their part of the
workspace's demand, then over targets, the nearest first.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

from verbenaworks.target import TargetInfo

# Part of a unit that the division forgives an instance which holds it: a
# unit that moves is idle until the next refresh.
STAYS = 0.95

Share = tuple[int, str, str]


def divide(
    slots: Mapping[str, int],
    limit: int,
    wants: Mapping[Share, int],
    before: Mapping[Share, int],
) -> Counter[Share]:
    """Return the units by instance, service and workspace.

    :param slots: slots of each service.
    :param limit: sum of the regions' limits.
    """
    free = Counter(slots)
    given: Counter[Share] = Counter()
    heap: list[tuple[int, str]] = []
    queues: dict[str, list[tuple[float, Share]]] = defaultdict(list)

    def next_key(share: Share) -> float:
        stays = STAYS if given[share] < before.get(share, 0) else 0.0
        return (given[share] + 1.0 - stays) / wants[share]

    for share, amount in wants.items():
        if amount > 0:
            queues[share[2]].append((next_key(share), share))
    for workspace, queue in queues.items():
        heapq.heapify(queue)
        heap.append((0, workspace))
    heapq.heapify(heap)
    while heap and limit > 0:
        count, workspace = heapq.heappop(heap)
        queue = queues[workspace]
        while queue:
            _, share = heapq.heappop(queue)
            if free[share[1]] > 0:
                break
        else:
            continue
        given[share] += 1
        free[share[1]] -= 1
        limit -= 1
        if given[share] < wants[share]:
            heapq.heappush(queue, (next_key(share), share))
        heapq.heappush(heap, (count + 1, workspace))
    return given


def place(
    amounts: Mapping[tuple[int, str], int],
    targets: Sequence[TargetInfo],
    limits: Mapping[str, int],
    homes: Mapping[int, tuple[str, str]],
    before: Mapping[int, Mapping[str, int]],
) -> dict[int, Counter[str]]:
    """Return the units by instance and target.

    Units in the instance's region come first, those that it holds before
    others; a unit elsewhere is kept only if none is free in the region.

    :param amounts: units by instance and service.
    :param homes: region and failure domain by instance.
    """
    free = {t.name: t.slots for t in targets}
    room = dict(limits)
    left = dict(amounts)
    result: dict[int, Counter[str]] = defaultdict(Counter)
    by_service: dict[str, list[TargetInfo]] = defaultdict(list)
    for target in targets:
        by_service[target.service].append(target)
    for is_near, is_held in (
        (True, True),
        (True, False),
        (False, True),
        (False, False),
    ):
        moved = True
        while moved:
            moved = False
            for (taker, service), amount in left.items():
                if amount == 0:
                    continue
                region, domain = homes[taker]
                best = None
                best_key = (False, 0)
                for target in by_service[service]:
                    if (target.region == region) != is_near:
                        continue
                    if free[target.name] == 0 or room[target.region] == 0:
                        continue
                    mine = result[taker][target.name]
                    held = before.get(taker, {}).get(target.name, 0)
                    if is_held and mine >= held:
                        continue
                    key = (target.failure_domain == domain, free[target.name])
                    if best is None or key > best_key:
                        best, best_key = target, key
                if best is None:
                    continue
                result[taker][best.name] += 1
                free[best.name] -= 1
                room[best.region] -= 1
                left[taker, service] -= 1
                moved = True
    return result
