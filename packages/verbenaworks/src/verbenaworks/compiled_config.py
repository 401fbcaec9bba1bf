"""The configuration in the form in which requests use it.

It is compiled once for each revision, so that a request needs a few
dictionary lookups instead of searches in the settings tree.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from verbenaworks.block_table import BlockTable
from verbenaworks.config_document import ConfigDocument
from verbenaworks.key_index import IndexedKey, KeyIndex, KeyMatch
from verbenaworks.settings_tree import SettingsTree

_POLICY_FIELDS = ("deadline_s", "max_body_bytes", "retry_share")


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestPolicy:
    """Limits of the requests of a workspace to a service."""

    deadline_s: float
    max_body_bytes: int
    retry_share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetConfig:
    """A backend server.

    :ivar draining: whether the target or its region gets no new requests.
    """

    service: str
    name: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    draining: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceConfig:
    """A service and its backend servers.

    :ivar policy: limits of requests without a workspace.
    """

    name: str
    host: str | None
    open: bool
    weight: float
    policy: RequestPolicy
    idempotent_methods: frozenset[str]
    targets: Mapping[str, TargetConfig]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceConfig:
    """A workspace with its limits.

    :ivar allowed_services: the services that the workspace may call.
    :ivar policies: limits by service, for every allowed service.
    """

    name: str
    rate_per_s: float
    burst: float
    allowed_services: frozenset[str]
    policies: Mapping[str, RequestPolicy]


@dataclass(frozen=True, kw_only=True, slots=True)
class RegionConfig:
    """A region of the deployment."""

    name: str
    headroom_share: float
    link_bytes_per_s: int
    slot_limit: int
    emergency_cap_share: float
    draining: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteConfig:
    """A client site."""

    name: str
    region: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ShiftConfig:
    """A traffic shift."""

    name: str
    from_region: str
    to_region: str
    cap_share: float
    step_share: float
    state: str
    step: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CompiledConfig:
    """The compiled configuration of one revision."""

    config_revision: int
    services: Mapping[str, ServiceConfig]
    services_by_host: Mapping[str, ServiceConfig]
    workspaces: Mapping[str, WorkspaceConfig]
    keys: KeyIndex
    regions: Mapping[str, RegionConfig]
    sites: Mapping[str, SiteConfig]
    blocks: BlockTable
    shifts: Mapping[str, ShiftConfig]
    lookup_ttl_s: float
    stale_policy: str
    stale_serve_s: float
    shutdown_limit_s: float
    run_window_s: float

    def policy(self, service: str, workspace: str | None) -> RequestPolicy:
        """Return the limits of a request to an existing service."""
        config = self.workspaces.get(workspace) if workspace else None
        policy = config.policies.get(service) if config else None
        return policy or self.services[service].policy

    def longest_deadline_s(self, service: str) -> float:
        """Return the longest deadline of any request to the service.

        A workspace may set a longer deadline than the service. Units of the
        service's budgets may therefore be in use for this long.
        """
        return max(
            self.services[service].policy.deadline_s,
            *(
                workspace.policies[service].deadline_s
                for workspace in self.workspaces.values()
                if service in workspace.policies
            ),
            0.0,
        )


def compile_config(document: ConfigDocument) -> CompiledConfig:
    """Return the compiled form of a document."""
    tree = document.tree
    regions = {name: _region(tree, name) for name in tree.names("/regions")}
    services = {
        name: _service(tree, name, regions) for name in tree.names("/services")
    }
    return CompiledConfig(
        config_revision=document.config_revision,
        services=services,
        services_by_host={s.host: s for s in services.values() if s.host},
        workspaces={
            name: _workspace(tree, name, services)
            for name in tree.names("/workspaces")
        },
        keys=_keys(tree),
        regions=regions,
        sites={name: _site(tree, name) for name in tree.names("/sites")},
        blocks=tree.blocks,
        shifts={name: _shift(tree, name) for name in tree.names("/shifts")},
        lookup_ttl_s=tree.value("/", "lookup_ttl_s"),
        stale_policy=tree.value("/", "stale_policy"),
        stale_serve_s=tree.value("/", "stale_serve_s"),
        shutdown_limit_s=tree.value("/", "shutdown_limit_s"),
        run_window_s=tree.value("/", "run_window_s"),
    )


def _values(tree: SettingsTree, path: str, *fields: str) -> dict[str, Any]:
    return {field: tree.resolve(path, field).value for field in fields}


def _region(tree: SettingsTree, name: str) -> RegionConfig:
    path = f"/regions/{name}"
    return RegionConfig(
        name=name,
        draining=tree.value(path, "drain"),
        **_values(
            tree,
            path,
            "headroom_share",
            "link_bytes_per_s",
            "slot_limit",
            "emergency_cap_share",
        ),
    )


def _policy(tree: SettingsTree, path: str) -> RequestPolicy:
    return RequestPolicy(**_values(tree, path, *_POLICY_FIELDS))


def _service(
    tree: SettingsTree, name: str, regions: Mapping[str, RegionConfig]
) -> ServiceConfig:
    path = f"/services/{name}"
    targets = {
        target: _target(tree, name, target, regions)
        for target in tree.names(f"{path}/targets")
    }
    return ServiceConfig(
        name=name,
        policy=_policy(tree, path),
        idempotent_methods=frozenset(tree.value(path, "idempotent_methods")),
        targets=targets,
        **_values(tree, path, "host", "open", "weight"),
    )


def _target(
    tree: SettingsTree,
    service: str,
    name: str,
    regions: Mapping[str, RegionConfig],
) -> TargetConfig:
    path = f"/services/{service}/targets/{name}"
    region = tree.value(path, "region")
    return TargetConfig(
        service=service,
        name=name,
        region=region,
        draining=tree.value(path, "drain") or regions[region].draining,
        **_values(
            tree, path, "address", "failure_domain", "slots", "connections"
        ),
    )


def _workspace(
    tree: SettingsTree, name: str, services: Mapping[str, ServiceConfig]
) -> WorkspaceConfig:
    path = f"/workspaces/{name}"
    allowed = set(tree.value(path, "allowed_services"))
    if "*" in allowed:
        allowed = set(services)
    return WorkspaceConfig(
        name=name,
        allowed_services=frozenset(allowed),
        policies={
            service: _workspace_policy(tree, path, services[service])
            for service in sorted(allowed)
        },
        **_values(tree, path, "rate_per_s", "burst"),
    )


def _workspace_policy(
    tree: SettingsTree, workspace: str, service: ServiceConfig
) -> RequestPolicy:
    path = f"{workspace}/services/{service.name}"
    overridden = (
        tree.own_values(workspace).keys() | tree.own_values(path).keys()
    )
    if overridden.isdisjoint(_POLICY_FIELDS):
        # Most workspaces override nothing. With 500 workspaces, looking up
        # their policies would take most of the compilation time.
        return service.policy
    return _policy(tree, path)


def _site(tree: SettingsTree, name: str) -> SiteConfig:
    path = f"/sites/{name}"
    return SiteConfig(name=name, **_values(tree, path, "region", "weight"))


def _shift(tree: SettingsTree, name: str) -> ShiftConfig:
    path = f"/shifts/{name}"
    return ShiftConfig(
        name=name,
        **_values(
            tree,
            path,
            "from_region",
            "to_region",
            "cap_share",
            "step_share",
            "state",
            "step",
        ),
    )


def _keys(tree: SettingsTree) -> KeyIndex:
    keys = {}
    for workspace in tree.names("/workspaces"):
        for key_id in tree.names(f"/workspaces/{workspace}/keys"):
            path = f"/workspaces/{workspace}/keys/{key_id}"
            keys[key_id] = IndexedKey(
                match=KeyMatch(workspace=workspace, key_id=key_id),
                digest=tree.value(path, "digest"),
            )
    return KeyIndex(keys)
