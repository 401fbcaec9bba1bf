"""Division of whole units by demand."""

from verbenaworks.allocation_table import ClientKey
from verbenaworks.demand_table import ROTATION_INTERVAL_S, DemandTable
from verbenaworks.grant import WorkspaceAmount


def _demand(workspace: str, amount: int) -> tuple[WorkspaceAmount, ...]:
    return (WorkspaceAmount(workspace=workspace, amount=amount),)


def _clients(count: int) -> list[ClientKey]:
    return [(f"e{number}", 1) for number in range(count)]


def test_units_stay_while_demand_varies() -> None:
    """Guards against units that move, and are idle, at each small change.

    The order of demands decided which clients got the undivided units.
    """
    table = DemandTable(min_reserve=1)
    clients = _clients(6)
    for number, client in enumerate(clients):
        table.set_demand(client, _demand(f"w{number}", 5))
    table.divide(0.0, 3, clients[0])
    first = dict(table.targets())
    assert sum(first.values()) == 3
    for step, client in enumerate(clients):
        table.set_demand(client, _demand(f"w{step}", 6 + step % 2))
        table.divide(0.1 * step, 3, client)
        assert table.targets() == first
    table.divide(2 * ROTATION_INTERVAL_S, 3, clients[0])
    assert table.targets() != first


def test_clients_of_a_workspace_keep_their_units() -> None:
    """Guards against units of one workspace that move between instances."""
    table = DemandTable(min_reserve=1)
    clients = _clients(4)
    for client in clients:
        table.set_demand(client, _demand("w", 5))
    table.divide(0.0, 2, clients[0])
    first = dict(table.targets())
    kept = [client for client, amount in first.items() if amount]
    for client in kept:
        table.forget(client)
        table.set_demand(client, _demand("w", 5))
    table.divide(0.1, 2, clients[0])
    assert table.targets() == first


def test_small_demands_come_first() -> None:
    """Guards against small workspaces that get less than large ones.

    A small one requests a unit of few targets, a large one of all.
    """
    for number in range(8):
        table = DemandTable(min_reserve=1, name=f"slots/s/t{number}")
        clients = _clients(6)
        for index, client in enumerate(clients):
            table.set_demand(
                client, _demand(f"w{index}", 1 if index < 2 else 9)
            )
        table.divide(0.0, 3, clients[0])
        assert table.target(clients[0]) == table.target(clients[1]) == 1


def test_budgets_prefer_different_workspaces() -> None:
    """Guards against targets that all serve the same workspaces."""
    served = set()
    for number in range(16):
        table = DemandTable(min_reserve=1, name=f"slots/s/t{number}")
        clients = _clients(8)
        for index, client in enumerate(clients):
            table.set_demand(client, _demand(f"w{index}", 9))
        table.divide(0.0, 3, clients[0])
        served |= {h for h in clients if table.target(h)}
    assert served == set(_clients(8))
