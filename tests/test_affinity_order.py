"""Order of the servers for the object that a request concerns."""

from steering_factories import server
from verbenaworks.steering.affinity_order import AffinityOrder, ObjectKey
from verbenaworks.steering.server_table import ServerTable

NO_REGIONS: frozenset[str] = frozenset()
REGIONS = ("north", "south", "west")


def _table(counts: dict[str, int]) -> ServerTable:
    table = ServerTable()
    for region, count in counts.items():
        for number in range(count):
            table.report(
                0.0,
                server(
                    f"{region}{number}",
                    region=region,
                    failure_domain=f"{region}-{'ab'[number % 2]}",
                ),
            )
    return table


def _order(table: ServerTable, region: str = "north") -> AffinityOrder:
    return AffinityOrder(
        region=region, failure_domain=f"{region}-a", table=table
    )


def _key(number: int, route: str = "browse", **fields: object) -> ObjectKey:
    defaults = {"home_regions": NO_REGIONS, "is_large": False}
    return ObjectKey(
        service="stock",
        route=route,
        affinity_key=str(number),
        **(defaults | fields),  # type: ignore[arg-type]
    )


def _servers(
    order: AffinityOrder,
    key: ObjectKey,
    local_share: float = 1.0,
    local_copies: int = 2,
    full_regions: frozenset[str] = NO_REGIONS,
) -> list[str]:
    return [
        s.server_id
        for s in order.servers(
            key,
            local_share=local_share,
            local_copies=local_copies,
            full_regions=full_regions,
        )
    ]


def test_home_is_in_the_local_region() -> None:
    """Guards against requests that cross regions without need.

    On sankei-lots, two of three requests did, and most bookings and claims
    missed their objective for it.
    """
    table = _table(dict.fromkeys(REGIONS, 4))
    for region in REGIONS:
        order = _order(table, region)
        for number in range(30):
            assert _servers(order, _key(number))[0].startswith(region)


def test_equal_keys_of_two_routes_are_different_objects() -> None:
    """Guards against a server that is the home of a number on all routes."""
    order = _order(_table({"north": 8}))
    homes = [
        (
            _servers(order, _key(number))[0],
            _servers(order, _key(number, "order"))[0],
        )
        for number in range(40)
    ]
    assert sum(first == second for first, second in homes) < 15


def test_region_without_room_serves_only_its_share_of_the_objects() -> None:
    """Guards against two servers that get the requests of a whole region."""
    order = _order(_table({"north": 2, "south": 6, "west": 6}))
    shares = {}
    for share in (1.0, 0.5, 0.2):
        local = {
            number
            for number in range(400)
            if _servers(order, _key(number), share)[0].startswith("north")
        }
        shares[share] = local
    assert len(shares[1.0]) == 400
    assert 150 < len(shares[0.5]) < 250
    # The objects that stay are always the same ones.
    assert shares[0.2] < shares[0.5]


def test_overflow_goes_to_another_region_before_it_displaces_objects() -> None:
    """Guards against a second copy where the caches have no room for it."""
    order = _order(_table({"north": 2, "south": 6}))
    for number in range(20):
        first, second, third = _servers(order, _key(number), 1.0, 1)[:3]
        assert first.startswith("north")
        assert second.startswith("south")
        assert third.startswith("north")


def test_overflow_avoids_regions_that_are_full_themselves() -> None:
    """Guards against overflow into the region with the fewest servers."""
    order = _order(_table({"north": 4, "south": 2, "west": 4}))
    full = frozenset({"south"})
    for number in range(40):
        servers = _servers(order, _key(number), full_regions=full)
        assert not any(name.startswith("south") for name in servers)
    only_full = _order(_table({"north": 4, "south": 2}))
    servers = _servers(only_full, _key(1), full_regions=full)
    assert any(name.startswith("south") for name in servers)


def test_order_follows_changes_of_the_table() -> None:
    """Guards against a home that has left."""
    table = _table({"north": 4})
    order = _order(table)
    home = _servers(order, _key(7))[0]
    table.remove(100.0, home)
    assert home not in _servers(order, _key(7))


def test_home_regions_limit_the_order() -> None:
    """Guards against requests that run outside their home regions."""
    order = _order(_table(dict.fromkeys(REGIONS, 3)))
    key = _key(1, home_regions=frozenset({"south"}))
    assert all(name.startswith("south") for name in _servers(order, key))
