"""Matching of requests to routes and keys."""

from steering_things import route, workspace
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
    held = _config().match_route(host, path)
    return held.name if held else None


def test_longest_prefix_is_taken() -> None:
    """Guards against a request that goes to the wider route."""
    assert _name("shop.example", "/a/x") == "a"
    assert _name("shop.example", "/a/b/x/y") == "ab"
    assert _name("shop.example", "/a/b") == "a"
    assert _name("other.example", "/a/b/") == "root"


def test_no_prefix_is_no_route() -> None:
    """Guards against a prefix that matches a part of a name."""
    assert _name("shop.example", "/ax/") is None
    assert _name("shop.example", "/a") is None
    assert _name("nowhere.example", "/a/x") is None


def test_host_is_compared_without_case_and_port() -> None:
    """Guards against callers that write the host differently."""
    assert _name("SHOP.Example:8080", "/a/x") == "a"


def test_keys_belong_to_one_workspace() -> None:
    """Guards against a key that opens another workspace."""
    config = _config()
    held = config.workspace_of("zeta")
    assert held is not None
    assert held.name == "zeta"
    assert config.workspace_of("Zeta") is None
