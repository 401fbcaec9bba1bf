"""A client's allocation of one concurrency budget."""

from collections.abc import Mapping

from verbenaworks.fair_share import fair_share
from verbenaworks.grant import Grant, GrantRequestEntry, WorkspaceAmount
from verbenaworks.permit import Permit

# A peak of use counts as demand for one to two of these periods.
_PEAK_PERIOD_S = 1.0


class ConcurrencyAllocation:
    """Granted units that callers use and release."""

    def __init__(self, name: str, linger_s: float) -> None:
        self._name = name
        self._linger_s = linger_s
        self._amount = 0
        self._expires_at_s = float("-inf")
        self._permits: dict[int, Permit] = {}
        self._in_use = 0
        self._used_by_workspace: dict[str, int] = {}
        self._granted_shares: dict[str, int] = {}
        self._peaks: dict[str, int] = {}
        self._previous_peaks: dict[str, int] = {}
        self._peaks_since_s = 0.0
        self._missing_by_workspace: dict[str, int] = {}
        self._asked_at_s = float("-inf")
        self._stated_demand: dict[str, int] | None = None
        self._is_demand_raised = False
        # Whether the last grant was less than the stated demand.
        self._is_below_demand = False
        self._requested_demand: Mapping[str, int] = {}
        self._answered_demand: Mapping[str, int] = {}
        # Upper bound of the units that the owner counts as held here.
        self._counted_by_owner = 0

    @property
    def is_short(self) -> bool:
        """Whether a caller waits for units or the demand is unmet."""
        return (
            bool(self._missing_by_workspace)
            or self._is_demand_raised
            or self._is_below_demand
        )

    @property
    def answered_demand(self) -> Mapping[str, int]:
        """The demand that the newest grant answers."""
        return self._answered_demand

    @property
    def has_surplus(self) -> bool:
        """Whether units that the owner counts as held were released."""
        return (
            self._counted_by_owner > self._amount
            and self._counted_by_owner > self._in_use
        )

    @property
    def asked_at_s(self) -> float:
        """When a caller last asked for units."""
        return self._asked_at_s

    @property
    def in_use(self) -> int:
        """The number of units in use."""
        return self._in_use

    def use_deadline_s(self) -> float:
        """Return when units must be released unless the grant is renewed."""
        return self._expires_at_s + self._linger_s

    def available(self, now_s: float) -> int:
        """Return the granted units that are not in use."""
        # Called for each candidate of each choice, so it must be fast.
        if now_s >= self._expires_at_s:
            self.expire(now_s)
        return max(0, self._amount - self._in_use)

    def granted_by_workspace(self, now_s: float) -> Mapping[str, int]:
        """Return the granted units by workspace.

        If the owner did not divide them, all belong to the only workspace
        with demand.
        """
        self.expire(now_s)
        if self._amount == 0:
            return {}
        if (
            not self._granted_shares
            and self._stated_demand
            and len(self._stated_demand) == 1
        ):
            return dict.fromkeys(self._stated_demand, self._amount)
        return self._granted_shares

    def set_demand(self, now_s: float, demand: Mapping[str, int]) -> None:
        """Set the demand by workspace, which replaces the observed demand."""
        stated_demand = {
            name: amount for name, amount in demand.items() if amount
        }
        if stated_demand:
            self._asked_at_s = now_s
        if (
            stated_demand != self._stated_demand
            and sum(stated_demand.values()) > self._amount
        ):
            self._is_demand_raised = True
        self._stated_demand = stated_demand

    def reduce_linger(self, linger_s: float) -> None:
        """Lower the linger time; an increase applies only after a restart."""
        self._linger_s = min(self._linger_s, linger_s)

    def held(self, now_s: float) -> tuple[int, int]:
        """Return the units that are or may be in use, and a depth of 0."""
        self.expire(now_s)
        return max(self._amount, self._in_use), 0

    def try_acquire(self, now_s: float, permit: Permit, retry: bool) -> bool:
        """Use units if the grant and the workspace's share allow it."""
        self.expire(now_s)
        self._asked_at_s = now_s
        workspace, amount = permit.workspace, permit.amount
        if not self._has_room(workspace, amount):
            self._record_missing(workspace, amount, retry)
            return False
        self._permits[permit.serial] = permit
        self._in_use += amount
        used = self._used_by_workspace.get(workspace, 0) + amount
        self._used_by_workspace[workspace] = used
        if used > self._peaks.get(workspace, 0):
            self._peaks[workspace] = used
        return True

    def release(self, now_s: float, permit: Permit) -> bool:
        """Release units; false if their linger time had ended them already."""
        self.expire(now_s)
        if self._permits.pop(permit.serial, None) is None:
            return False
        self._in_use -= permit.amount
        left = self._used_by_workspace[permit.workspace] - permit.amount
        if left:
            self._used_by_workspace[permit.workspace] = left
        else:
            del self._used_by_workspace[permit.workspace]
        return True

    def expire(self, now_s: float) -> None:
        """End the grant, and after the linger time also the units in use."""
        if now_s < self._expires_at_s:
            return
        self._amount = 0
        if self._permits and now_s >= self.use_deadline_s():
            self._permits.clear()
            self._used_by_workspace.clear()
            self._in_use = 0

    def make_entry(self, now_s: float, is_idle: bool) -> GrantRequestEntry:
        """Return what to report to the owner; an idle budget keeps nothing."""
        self.expire(now_s)
        if is_idle:
            self._amount = 0
        demand = self._observed_demand()
        if self._stated_demand is not None:
            demand = self._stated_demand
        self._requested_demand = dict(demand)
        self._is_demand_raised = False
        self._missing_by_workspace = {}
        if now_s - self._peaks_since_s >= _PEAK_PERIOD_S:
            self._previous_peaks = self._peaks
            self._peaks = dict(self._used_by_workspace)
            self._peaks_since_s = now_s
        self._counted_by_owner = max(self._amount, self._in_use)
        return GrantRequestEntry(
            budget=self._name,
            kept=self._counted_by_owner,
            in_use=self._in_use,
            wants=tuple(
                WorkspaceAmount(workspace=workspace, amount=amount)
                for workspace, amount in demand.items()
            ),
        )

    def _observed_demand(self) -> dict[str, int]:
        demand = {}
        for workspace in (
            self._peaks | self._previous_peaks | self._missing_by_workspace
        ):
            peak = max(
                self._peaks.get(workspace, 0),
                self._previous_peaks.get(workspace, 0),
            )
            # Waiting callers may be counted more than once.
            missing = min(
                self._missing_by_workspace.get(workspace, 0), max(1, peak)
            )
            if peak + missing > 0:
                demand[workspace] = peak + missing
        return demand

    def apply_grant(
        self, now_s: float, grant: Grant, expires_at_s: float
    ) -> bool:
        """Apply a grant; return whether units must be returned."""
        is_reduction = grant.amount < self._amount
        self._amount = grant.amount
        self._counted_by_owner = max(self._counted_by_owner, grant.amount)
        self._answered_demand = self._requested_demand
        demanded = (
            sum(self._stated_demand.values()) if self._stated_demand else 0
        )
        self._is_below_demand = demanded > grant.amount
        self._expires_at_s = expires_at_s
        names = [part.workspace for part in grant.parts]
        shares = fair_share(
            grant.amount, [part.amount for part in grant.parts]
        )
        self._granted_shares = dict(zip(names, shares, strict=True))
        return is_reduction

    def _has_room(self, workspace: str, amount: int) -> bool:
        if self._in_use + amount > self._amount:
            return False
        # With a stated demand, the admission queue enforces the shares over
        # all budgets. Shares of one budget are too small to reserve units.
        if not self._granted_shares or self._stated_demand is not None:
            return True
        # Units reserved for workspaces that use less than their share.
        reserved = sum(
            max(0, part - self._used_by_workspace.get(name, 0))
            for name, part in self._granted_shares.items()
            if name != workspace
        )
        return self._in_use + amount + reserved <= self._amount

    def _record_missing(
        self, workspace: str, amount: int, retry: bool
    ) -> None:
        missing = self._missing_by_workspace.get(workspace, 0)
        if retry and missing:
            return
        self._missing_by_workspace[workspace] = missing + amount
