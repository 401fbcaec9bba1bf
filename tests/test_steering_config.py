"""Matching of requests to routes and keys."""

from steering_factories import route, workspace
from verbenaworks.steering.steering_config import SteeringConfig


def _config() -> SteeringConfig:
    return SteeringConfig(
        version=1,
        routes=[
            route("a", prefix="/a/"),
            route("ab", prefix="/a/b/"),
            route("root", prefix="/", host="other.example"),
        ],
        services=[],
        workspaces=[workspace("acme"), workspace("zeta")],
    )


def _name(host: str, path: str) -> str | None:
    found = _config().match_route(host, path)
    return found.name if found else None


def test_longest_prefix_matches() -> None:
    """Guards against a request that goes to a less specific route."""
    assert _name("shop.example", "/a/x") == "a"
    assert _name("shop.example", "/a/b/x/y") == "ab"
    assert _name("shop.example", "/a/b") == "a"
    assert _name("other.example", "/a/b/") == "root"


def test_path_without_a_prefix_has_no_route() -> None:
    """Guards against a prefix that matches part of a path segment."""
    assert _name("shop.example", "/ax/") is None
    assert _name("shop.example", "/a") is None
    assert _name("nowhere.example", "/a/x") is None


def test_host_is_compared_without_case_and_port() -> None:
    """Guards against callers that write the host in another form."""
    assert _name("SHOP.Example:8080", "/a/x") == "a"


def test_keys_belong_to_one_workspace() -> None:
    """Guards against a key that is valid for another workspace."""
    config = _config()
    found = config.workspace_of("zeta")
    assert found is not None
    assert found.name == "zeta"
    assert config.workspace_of("Zeta") is None
