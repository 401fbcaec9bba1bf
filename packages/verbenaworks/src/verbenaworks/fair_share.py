"""Max-min division of whole units."""

from collections.abc import Sequence


def fair_share(
    total: int, demands: Sequence[int], weights: Sequence[int] | None = None
) -> list[int]:
    """Divide ``total`` among demands by water-filling.

    No share exceeds its demand, and the sum of the shares never exceeds
    ``total`` and reaches it while a demand is unmet. Units that cannot be
    divided evenly go to the unmet demands in the order of the list.

    :param weights: positive weights; all equal by default.
    """
    shares = [0] * len(demands)
    if total <= 0:
        return shares
    effective_weights = weights if weights is not None else [1] * len(demands)
    order = [i for i, demand in enumerate(demands) if demand > 0]
    if sum(demands[i] for i in order) <= total:
        for i in order:
            shares[i] = demands[i]
        return shares
    order.sort(key=lambda i: demands[i] / effective_weights[i])
    remaining_weight = sum(effective_weights[i] for i in order)
    remaining = total
    for position, i in enumerate(order):
        if demands[i] * remaining_weight > remaining * effective_weights[i]:
            _divide(
                shares,
                remaining,
                sorted(order[position:]),
                effective_weights,
                demands,
            )
            break
        shares[i] = demands[i]
        remaining -= demands[i]
        remaining_weight -= effective_weights[i]
    return shares


def _divide(
    shares: list[int],
    total: int,
    unmet: list[int],
    weights: Sequence[int],
    demands: Sequence[int],
) -> None:
    weight_sum = sum(weights[i] for i in unmet)
    for i in unmet:
        shares[i] = min(demands[i], total * weights[i] // weight_sum)
    remaining = total - sum(shares[i] for i in unmet)
    for i in unmet:
        if remaining == 0:
            return
        if shares[i] < demands[i]:
            shares[i] += 1
            remaining -= 1
