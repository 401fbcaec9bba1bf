"""Max-min division of whole units."""

from collections.abc import Sequence


def fair_share(
    total: int, demands: Sequence[int], weights: Sequence[int] | None = None
) -> list[int]:
    """Divide ``total`` among demands by water-filling.

    Nobody receives more than the demand, the sum never exceeds ``total``,
    and all of it is handed out while a demand is unmet. Units that cannot be
    divided go to the unmet demands in the order of the list.

    :param weights: positive shares; all equal by default.
    """
    shares = [0] * len(demands)
    if total <= 0:
        return shares
    used = weights if weights is not None else [1] * len(demands)
    order = [i for i, demand in enumerate(demands) if demand > 0]
    if sum(demands[i] for i in order) <= total:
        for i in order:
            shares[i] = demands[i]
        return shares
    order.sort(key=lambda i: demands[i] / used[i])
    weight_left = sum(used[i] for i in order)
    left = total
    for position, i in enumerate(order):
        if demands[i] * weight_left > left * used[i]:
            _divide(shares, left, sorted(order[position:]), used, demands)
            break
        shares[i] = demands[i]
        left -= demands[i]
        weight_left -= used[i]
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
    left = total - sum(shares[i] for i in unmet)
    for i in unmet:
        if left == 0:
            return
        if shares[i] < demands[i]:
            shares[i] += 1
            left -= 1
