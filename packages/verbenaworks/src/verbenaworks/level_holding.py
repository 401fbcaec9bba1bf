"""The taker's part of one level budget."""

from collections.abc import Mapping

from verbenaworks.fair_share import fair_share
from verbenaworks.grant import Grant, GrantRequestEntry, WorkspaceAmount
from verbenaworks.permit import Permit

# Peaks of use are kept for one to two of these periods.
_PEAK_S = 1.0


class LevelHolding:
    """Units that callers use and release."""

    def __init__(self, name: str, linger_s: float) -> None:
        self._name = name
        self._linger_s = linger_s
        self._amount = 0
        self._expires_at_s = float("-inf")
        self._holds: dict[int, Permit] = {}
        self._in_use = 0
        self._used: dict[str, int] = {}
        self._parts: dict[str, int] = {}
        self._peaks: dict[str, int] = {}
        self._earlier_peaks: dict[str, int] = {}
        self._peaks_since_s = 0.0
        self._missing: dict[str, int] = {}
        self._asked_at_s = float("-inf")
        self._stated: dict[str, int] | None = None
        self._is_restated = False
        # Whether the last grant was less than the stated wants.
        self._is_denied = False
        self._requested: Mapping[str, int] = {}
        self._answered: Mapping[str, int] = {}
        # The most that the owner counts as held here.
        self._kept = 0

    @property
    def is_short(self) -> bool:
        """Whether a caller waits for units or more units are wanted."""
        return bool(self._missing) or self._is_restated or self._is_denied

    @property
    def answered(self) -> Mapping[str, int]:
        """The wants that the newest grant answers."""
        return self._answered

    @property
    def has_surplus(self) -> bool:
        """Whether units that the owner counts as held were released."""
        return self._kept > self._amount and self._kept > self._in_use

    @property
    def asked_at_s(self) -> float:
        """When a caller last asked for units."""
        return self._asked_at_s

    @property
    def in_use(self) -> int:
        """The number of units in use."""
        return self._in_use

    def must_end_at_s(self) -> float:
        """Return when uses must end unless the grant is renewed."""
        return self._expires_at_s + self._linger_s

    def available(self, now_s: float) -> int:
        """Return the granted units that are not in use."""
        # The choice asks for each of its candidates.
        if now_s >= self._expires_at_s:
            self.expire(now_s)
        return max(0, self._amount - self._in_use)

    def granted_by_workspace(self, now_s: float) -> Mapping[str, int]:
        """Return the granted units by workspace.

        Without a division by the owner, all belong to the only workspace
        that wants some.
        """
        self.expire(now_s)
        if self._amount == 0:
            return {}
        if not self._parts and self._stated and len(self._stated) == 1:
            return dict.fromkeys(self._stated, self._amount)
        return self._parts

    def set_demand(self, now_s: float, demand: Mapping[str, int]) -> None:
        """Set the demand by workspace in place of the observed one."""
        stated = {name: amount for name, amount in demand.items() if amount}
        if stated:
            self._asked_at_s = now_s
        if stated != self._stated and sum(stated.values()) > self._amount:
            self._is_restated = True
        self._stated = stated

    def limit_linger(self, linger_s: float) -> None:
        """Apply changed settings; an increase waits for a new process."""
        self._linger_s = min(self._linger_s, linger_s)

    def held(self, now_s: float) -> tuple[int, int]:
        """Return the units that are or may be in use, and no depth."""
        self.expire(now_s)
        return max(self._amount, self._in_use), 0

    def try_take(self, now_s: float, hold: Permit, retry: bool) -> bool:
        """Use units if the grant and the workspace's part allow it."""
        self.expire(now_s)
        self._asked_at_s = now_s
        workspace, amount = hold.workspace, hold.amount
        if not self._has_room(workspace, amount):
            self._note_missing(workspace, amount, retry)
            return False
        self._holds[hold.serial] = hold
        self._in_use += amount
        used = self._used.get(workspace, 0) + amount
        self._used[workspace] = used
        if used > self._peaks.get(workspace, 0):
            self._peaks[workspace] = used
        return True

    def release(self, now_s: float, hold: Permit) -> bool:
        """End a use; false if it was ended already."""
        self.expire(now_s)
        if self._holds.pop(hold.serial, None) is None:
            return False
        self._in_use -= hold.amount
        left = self._used[hold.workspace] - hold.amount
        if left:
            self._used[hold.workspace] = left
        else:
            del self._used[hold.workspace]
        return True

    def expire(self, now_s: float) -> None:
        """Stop new uses after the grant's end, and all uses after linger."""
        if now_s < self._expires_at_s:
            return
        self._amount = 0
        if self._holds and now_s >= self.must_end_at_s():
            self._holds.clear()
            self._used.clear()
            self._in_use = 0

    def want(self, now_s: float, is_idle: bool) -> GrantRequestEntry:
        """State what is kept from now on; an idle budget keeps nothing."""
        self.expire(now_s)
        if is_idle:
            self._amount = 0
        wants = self._observed_wants()
        if self._stated is not None:
            wants = self._stated
        self._requested = dict(wants)
        self._is_restated = False
        self._missing = {}
        if now_s - self._peaks_since_s >= _PEAK_S:
            self._earlier_peaks = self._peaks
            self._peaks = dict(self._used)
            self._peaks_since_s = now_s
        self._kept = max(self._amount, self._in_use)
        return GrantRequestEntry(
            budget=self._name,
            kept=self._kept,
            in_use=self._in_use,
            wants=tuple(
                WorkspaceAmount(workspace=workspace, amount=amount)
                for workspace, amount in wants.items()
            ),
        )

    def _observed_wants(self) -> dict[str, int]:
        wants = {}
        for workspace in self._peaks | self._earlier_peaks | self._missing:
            peak = max(
                self._peaks.get(workspace, 0),
                self._earlier_peaks.get(workspace, 0),
            )
            # Callers that wait may be counted more than once.
            missing = min(self._missing.get(workspace, 0), max(1, peak))
            if peak + missing > 0:
                wants[workspace] = peak + missing
        return wants

    def accept(self, now_s: float, grant: Grant, expires_at_s: float) -> bool:
        """Put a grant in force; return whether it freed units to return."""
        is_smaller = grant.amount < self._amount
        self._amount = grant.amount
        self._kept = max(self._kept, grant.amount)
        self._answered = self._requested
        wanted = sum(self._stated.values()) if self._stated else 0
        self._is_denied = wanted > grant.amount
        self._expires_at_s = expires_at_s
        names = [part.workspace for part in grant.parts]
        shares = fair_share(
            grant.amount, [part.amount for part in grant.parts]
        )
        self._parts = dict(zip(names, shares, strict=True))
        return is_smaller

    def _has_room(self, workspace: str, amount: int) -> bool:
        if self._in_use + amount > self._amount:
            return False
        # Where wants are stated, a queue orders the requests of all budgets
        # by the parts. Parts of single budgets are too small to keep free.
        if not self._parts or self._stated is not None:
            return True
        # Units set aside for other workspaces that use less than their part.
        set_aside = sum(
            max(0, part - self._used.get(name, 0))
            for name, part in self._parts.items()
            if name != workspace
        )
        return self._in_use + amount + set_aside <= self._amount

    def _note_missing(self, workspace: str, amount: int, retry: bool) -> None:
        missing = self._missing.get(workspace, 0)
        if retry and missing:
            return
        self._missing[workspace] = missing + amount
