"""Address of a backend server."""

TargetAddress = tuple[str, int]
