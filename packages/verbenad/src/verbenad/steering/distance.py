"""Distance between an instance and its peers, for the metrics."""

from verbenaworks.steering.instance_record import InstanceRecord

# Labels of the metrics.
SAME_DOMAIN = "local"
OTHER_DOMAIN = "domain"
OTHER_REGION = "region"


def distance(
    local_instance: InstanceRecord, region: str, failure_domain: str
) -> str:
    """Return the label of the distance to a region and failure domain."""
    if region != local_instance.region:
        return OTHER_REGION
    if failure_domain != local_instance.failure_domain:
        return OTHER_DOMAIN
    return SAME_DOMAIN
