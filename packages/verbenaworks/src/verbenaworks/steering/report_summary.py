"""What the reports of several instances say together."""

import zlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from verbenaworks.steering.backend_server import BackendServer
from verbenaworks.steering.peer_report import PeerReport
from verbenaworks.steering.region_requests import RegionRequests
from verbenaworks.steering.region_splits import Shares

# Shares are reported in thousandths.
SHARE_UNITS = 1000


def requests_by_region(
    reports: Iterable[tuple[str, PeerReport]], server_ids: Iterable[str]
) -> dict[str, RegionRequests]:
    """Add up the requests in flight by the region of the reporting instance.

    :param reports: reports with the region of their sender.
    :param server_ids: all servers; requests at others are left out.
    """
    ids = {short_hash(server_id): server_id for server_id in server_ids}
    in_flight: dict[str, Counter[str]] = {}
    bound: dict[str, Counter[str]] = {}
    for region, report in reports:
        _add(in_flight.setdefault(region, Counter()), report.in_flight, ids)
        _add(bound.setdefault(region, Counter()), report.bound, ids)
    return {
        region: RegionRequests(in_flight=counts, bound=bound[region])
        for region, counts in in_flight.items()
    }


def add_requests(
    requests: RegionRequests | None,
    *,
    in_flight: Mapping[str, float],
    bound: Mapping[str, float],
) -> RegionRequests:
    """Return a region's requests with those of one more instance."""
    if requests is None:
        return RegionRequests(in_flight=in_flight, bound=bound)
    return RegionRequests(
        in_flight=_sum(requests.in_flight, in_flight),
        bound=_sum(requests.bound, bound),
    )


def total_in_flight(
    regions: Iterable[RegionRequests],
) -> dict[str, float]:
    """Add up the requests in flight of several regions, by server id."""
    total: dict[str, float] = {}
    for requests in regions:
        total = _sum(total, requests.in_flight)
    return total


def pack_counts(by_server: Mapping[str, int]) -> dict[int, int]:
    """Return numbers of requests by server in the form of a report."""
    return {short_hash(name): count for name, count in by_server.items()}


def pack_shares(shares: Shares) -> dict[int, dict[int, int]]:
    """Return shares in the form of a report."""
    return {
        short_hash(service): {
            short_hash(region): round(share * SHARE_UNITS)
            for region, share in by_region.items()
        }
        for service, by_region in shares.items()
    }


def unpack_shares(
    packed: Mapping[int, Mapping[int, int]],
    *,
    services: Iterable[str],
    regions: Iterable[str],
) -> Shares:
    """Return the shares of a report; unknown services are left out.

    A service is also left out if one of its regions is unknown, because the
    shares of the others would not add up.
    """
    region_names = {short_hash(region): region for region in regions}
    unpacked = {}
    for service in services:
        by_hash = packed.get(short_hash(service), {})
        if by_hash and by_hash.keys() <= region_names.keys():
            unpacked[service] = {
                region_names[region]: units / SHARE_UNITS
                for region, units in by_hash.items()
            }
    return unpacked


def short_hash(name: str) -> int:
    """Return the number that stands for a name in reports."""
    return zlib.crc32(name.encode("utf-8", "replace"))


def incarnation_hash(server: BackendServer) -> int:
    """Return the number that stands for a server's incarnation in reports."""
    return short_hash(f"{server.server_id}/{server.started_at_ms}")


def servers_of(
    hashes: Collection[int], servers: Iterable[BackendServer]
) -> list[BackendServer]:
    """Return the servers whose incarnations a report names."""
    return [s for s in servers if hashes and incarnation_hash(s) in hashes]


def _add(
    counts: Counter[str],
    by_hash: Mapping[int, int],
    ids: Mapping[int, str],
) -> None:
    for server_hash, count in by_hash.items():
        if server_hash in ids:
            counts[ids[server_hash]] += count


def _sum(
    first: Mapping[str, float], second: Mapping[str, float]
) -> dict[str, float]:
    return {
        key: first.get(key, 0.0) + second.get(key, 0.0)
        for key in {*first, *second}
    }
