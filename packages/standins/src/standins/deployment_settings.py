"""Settings of a deployment, in the format that ``verbena import`` reads."""

import secrets
from dataclasses import dataclass

from standins.deployments import Deployment
from verbenaworks.key_digest import create_key

WORKSPACE_COUNT = 8
LARGE_WORKSPACE_COUNT = 2
LARGE_WORKSPACE_RATE_PER_S = 400.0
SMALL_WORKSPACE_RATE_PER_S = 60.0
BLOCKS_PER_REGION = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class DeploymentSettings:
    """Settings of a deployment, with keys and addresses for its callers.

    :ivar branches: values of each settings path.
    :ivar blocks: site of each client block.
    :ivar keys: a key for each workspace.
    :ivar addresses: address of a caller in each region.
    """

    branches: dict[str, dict[str, object]]
    blocks: dict[str, str]
    keys: dict[str, str]
    addresses: dict[str, str]

    def to_import(self) -> dict[str, object]:
        """Return the content of a settings file for ``verbena import``."""
        return {
            "format": "verbena-settings-1",
            "branches": self.branches,
            "blocks": self.blocks,
        }


def build_deployment_settings(
    deployment: Deployment,
    target_ports: dict[str, int],
    target_ip: str = "127.0.0.1",
) -> DeploymentSettings:
    """Build the settings of a deployment on this machine.

    :param target_ports: port of each target, by ``service/target``.
    :param target_ip: address at which instances reach the targets.
    """
    branches: dict[str, dict[str, object]] = {"/": {"lookup_ttl_s": 2.0}}
    blocks: dict[str, str] = {}
    addresses: dict[str, str] = {}
    regions = dict.fromkeys(region for _, region in deployment.failure_domains)
    for index, region in enumerate(regions):
        branches[f"/regions/{region}"] = {}
        branches[f"/sites/{region}-site"] = {"region": region}
        for block in range(BLOCKS_PER_REGION):
            blocks[f"10.{index}.{block}.0/24"] = f"{region}-site"
        addresses[region] = f"10.{index}.0.7"
    _add_services(branches, deployment, target_ports, target_ip)
    keys = _add_workspaces(branches)
    return DeploymentSettings(
        branches=branches, blocks=blocks, keys=keys, addresses=addresses
    )


def list_targets(deployment: Deployment) -> list[tuple[str, int, float]]:
    """Return ``service/target``, slots and service time of each target."""
    return [
        (f"{service.name}/t{number}", service.slots, service.service_s)
        for service in deployment.services
        for number in range(1, service.targets + 1)
    ]


def target_location(deployment: Deployment, number: int) -> tuple[str, str]:
    """Return failure domain and region of a service's n-th target."""
    domains = deployment.failure_domains
    return domains[number % len(domains)]


def _add_services(
    branches: dict[str, dict[str, object]],
    deployment: Deployment,
    target_ports: dict[str, int],
    target_ip: str,
) -> None:
    for service in deployment.services:
        branches[f"/services/{service.name}"] = {
            "slots": service.slots,
            "connections": deployment.connections_per_target,
            "deadline_s": 10.0,
            "host": f"{service.name}.example",
        }
        for number in range(1, service.targets + 1):
            domain, region = target_location(deployment, number)
            port = target_ports[f"{service.name}/t{number}"]
            branches[f"/services/{service.name}/targets/t{number}"] = {
                "address": f"{target_ip}:{port}",
                "region": region,
                "failure_domain": domain,
            }


def _add_workspaces(
    branches: dict[str, dict[str, object]],
) -> dict[str, str]:
    keys = {}
    for number in range(1, WORKSPACE_COUNT + 1):
        is_large = number <= LARGE_WORKSPACE_COUNT
        name = f"large{number}" if is_large else f"small{number}"
        rate_per_s = (
            LARGE_WORKSPACE_RATE_PER_S
            if is_large
            else SMALL_WORKSPACE_RATE_PER_S
        )
        branches[f"/workspaces/{name}"] = {
            "rate_per_s": rate_per_s,
            "burst": rate_per_s,
            "allowed_services": ["*"],
        }
        key = create_key(secrets.token_bytes)
        branches[f"/workspaces/{name}/keys/{key.key_id}"] = {
            "digest": key.digest
        }
        keys[name] = key.key
    return keys
