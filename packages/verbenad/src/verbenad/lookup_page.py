"""The lookup endpoint, which returns the entry instances for a caller."""

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from verbenad.lookup_table import LookupTable
from verbenad.refusal_error import refusal_error
from verbenad.run_claims import RunClaims
from verbenaworks.client_blocks import (
    ForeignAddressError,
    InvalidAddressError,
)
from verbenaworks.compiled_config import CompiledConfig

StartResponse = Callable[..., Any]


class LookupPage:
    """Answers ``GET /v1/lookup?service=S&address=IP``.

    :param is_usable: whether an instance may be named to callers.
    """

    def __init__(
        self,
        *,
        table: LookupTable,
        claims: RunClaims,
        is_usable: Callable[[str], bool],
    ) -> None:
        self._table = table
        self._claims = claims
        self._is_usable = is_usable

    def answer(
        self,
        config: CompiledConfig | None,
        query: str,
        request_id: str,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one lookup.

        :raises RefusalError: if the query is malformed or its address unknown.
        """
        if config is None:
            raise refusal_error("not-fresh", request_id, retry_after_s=1.0)
        fields = parse_qs(query)
        service = fields.get("service", [""])[0]
        if service not in config.services:
            raise refusal_error("unknown-service", request_id)
        address = fields.get("address", [""])[0]
        try:
            found = self._table.find(address, self._is_usable)
        except InvalidAddressError as error:
            raise refusal_error(
                "malformed-address", request_id, message=error.message
            ) from error
        except ForeignAddressError as error:
            raise refusal_error(
                "unknown-address", request_id, message=error.message
            ) from error
        ticket = self._claims.ticket(found.block_hash)
        body = msgspec.json.encode(
            {
                "service": service,
                "config_revision": config.config_revision,
                "lookup_ttl_s": config.lookup_ttl_s,
                "ticket": str(ticket) if ticket else None,
                "region": found.region,
                "instances": [
                    {
                        "name": instance.name,
                        "address": instance.caller_address,
                        "region": instance.region,
                    }
                    for instance in found.instances
                ],
            }
        )
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Cache-Control", f"max-age={int(config.lookup_ttl_s)}"),
            ],
        )
        return [body]
