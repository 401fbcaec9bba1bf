"""What a caller gets from a budget client."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """Tokens that were spent, or units that are in use until released."""

    budget: str
    workspace: str
    amount: int
    serial: int
