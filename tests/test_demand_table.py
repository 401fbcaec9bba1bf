"""Division of whole units by wants."""

from verbenaworks.demand_table import ROTATE_S, DemandTable
from verbenaworks.grant import WorkspaceAmount
from verbenaworks.holding_book import Holder


def _want(workspace: str, amount: int) -> tuple[WorkspaceAmount, ...]:
    return (WorkspaceAmount(workspace=workspace, amount=amount),)


def _holders(count: int) -> list[Holder]:
    return [(f"e{number}", 1) for number in range(count)]


def test_units_stay_while_wants_vary() -> None:
    """Guards against units that move, and are idle, with each small change.

    The order of wants decided who got the units that cannot be divided.
    """
    table = DemandTable(spare=1)
    holders = _holders(6)
    for number, holder in enumerate(holders):
        table.set_wants(holder, _want(f"w{number}", 5))
    table.divide(0.0, 3, holders[0])
    first = dict(table.targets())
    assert sum(first.values()) == 3
    for step, holder in enumerate(holders):
        table.set_wants(holder, _want(f"w{step}", 6 + step % 2))
        table.divide(0.1 * step, 3, holder)
        assert table.targets() == first
    table.divide(2 * ROTATE_S, 3, holders[0])
    assert table.targets() != first


def test_takers_of_a_workspace_keep_their_units() -> None:
    """Guards against units of one workspace that move between instances."""
    table = DemandTable(spare=1)
    holders = _holders(4)
    for holder in holders:
        table.set_wants(holder, _want("w", 5))
    table.divide(0.0, 2, holders[0])
    first = dict(table.targets())
    kept = [holder for holder, amount in first.items() if amount]
    for holder in kept:
        table.forget(holder)
        table.set_wants(holder, _want("w", 5))
    table.divide(0.1, 2, holders[0])
    assert table.targets() == first


def test_small_demands_come_first() -> None:
    """Guards against small workspaces that get less than large ones.

    A small one asks for a unit at few targets, a large one at all.
    """
    for number in range(8):
        table = DemandTable(spare=1, name=f"slots/s/t{number}")
        holders = _holders(6)
        for place, holder in enumerate(holders):
            table.set_wants(holder, _want(f"w{place}", 1 if place < 2 else 9))
        table.divide(0.0, 3, holders[0])
        assert table.target(holders[0]) == table.target(holders[1]) == 1


def test_budgets_prefer_different_workspaces() -> None:
    """Guards against targets that all leave out the same workspaces."""
    served = set()
    for number in range(16):
        table = DemandTable(spare=1, name=f"slots/s/t{number}")
        holders = _holders(8)
        for place, holder in enumerate(holders):
            table.set_wants(holder, _want(f"w{place}", 9))
        table.divide(0.0, 3, holders[0])
        served |= {h for h in holders if table.target(h)}
    assert served == set(_holders(8))
