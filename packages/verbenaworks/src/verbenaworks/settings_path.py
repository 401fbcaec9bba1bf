"""Paths of the settings tree and their levels."""

import re
from functools import lru_cache

from result import Err, Ok, Result

from verbenaworks.errors import SettingError

ROOT = "/"
BLOCKS = "/blocks"

_NAME = "[a-z0-9][a-z0-9-]{0,62}"
NAME_PATTERN = re.compile(_NAME)

LEVEL_FORMS = {
    "deployment": ROOT,
    "region": "/regions/<region>",
    "service": "/services/<service>",
    "target": "/services/<service>/targets/<target>",
    "workspace": "/workspaces/<workspace>",
    "workspace-service": "/workspaces/<workspace>/services/<service>",
    "key": "/workspaces/<workspace>/keys/<key>",
    "site": "/sites/<site>",
    "shift": "/shifts/<shift>",
    "operator": "/operators/<operator>",
    "blocks": BLOCKS,
}

_PATTERNS = {
    level: re.compile(re.sub("<[a-z]+>", f"({_NAME})", form))
    for level, form in LEVEL_FORMS.items()
}


@lru_cache(maxsize=8192)
def level_of(path: str) -> Result[str, SettingError]:
    """Return the level of ``path``, or an error if it is not a valid path."""
    for level, pattern in _PATTERNS.items():
        if pattern.fullmatch(path):
            return Ok(level)
    forms = ", ".join(LEVEL_FORMS.values())
    return Err(
        SettingError(
            f"{path!r} is not a settings path",
            f"use one of {forms}; names have 1 to 63 characters of a-z, 0-9 "
            "and -",
        )
    )


def path_names(path: str) -> tuple[str, ...]:
    """Return the names in a path, without the names of collections."""
    return tuple(path.split("/")[2::2])


def parent_of(path: str) -> str | None:
    """Return the parent branch of ``path``; None for the deployment."""
    if path == ROOT:
        return None
    parts = path.split("/")
    return "/".join(parts[:-2]) or ROOT


@lru_cache(maxsize=8192)
def lookup_order(path: str) -> tuple[str, ...]:
    """Return the branches from which ``path`` takes values, in order."""
    if path == ROOT:
        return (ROOT,)
    parts = path.split("/")
    if len(parts) == 5 and parts[1] == "workspaces" and parts[3] == "services":
        return (path, "/".join(parts[:3]), f"/services/{parts[4]}", ROOT)
    if len(parts) == 5:
        return (path, "/".join(parts[:3]), ROOT)
    return (path, ROOT)


def is_within(path: str, branch: str) -> bool:
    """Return whether ``path`` is ``branch`` or below it."""
    return branch == ROOT or path == branch or path.startswith(branch + "/")
