"""Names on the platform's interfaces."""

from dataclasses import dataclass

from verbenad.field_names import FieldNames
from verbenad.steering.platform_endpoints import EndpointNames


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformNames:
    """Names of the platform's header fields, endpoints and cookies.

    :param affinity_cookie: cookie that carries the affinity key of a request.
    """

    fields: FieldNames
    endpoints: EndpointNames
    affinity_cookie: str
