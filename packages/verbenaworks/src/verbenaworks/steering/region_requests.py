"""Requests in flight that the instances of one region have sent."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionRequests:
    """Numbers of requests by server id.

    :param in_flight: all requests.
    :param bound: those of them that may not run in every region.
    """

    in_flight: Mapping[str, float]
    bound: Mapping[str, float]
