"""Accepted requests of one workspace in the window, by instance."""

from dataclasses import dataclass, field

from verbenaworks.steering.usage_window import UsageWindow

# Within this time the instance counts and reports a request granted to it.
GRANT_SETTLE_S = 1.0


@dataclass(kw_only=True, slots=True)
class _Account:
    """What is known of one incarnation of an instance.

    :ivar total: its accepted requests, as reported or as granted.
    :ivar first_total: the same when this instance first heard of it.
    :ivar follows_known: whether the ledger holds the use of the previous
        incarnation, so that the reported debt is not counted.
    :ivar reported_count: its requests in the window when it last reported.
    """

    incarnation: int
    total: int
    first_total: int
    window: UsageWindow
    follows_known: bool
    demand_per_s: float = 0.0
    debt: float = 0.0
    unlisted: float = 0.0
    reported_count: float = 0.0
    granted_at_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class RateLedger:
    """The fleet's use of one workspace's rate, as one instance knows it.

    :ivar window_s: length of the window.
    """

    window_s: float
    _accounts: dict[str, _Account] = field(default_factory=dict)
    # Use of ended incarnations, which counts until it leaves the window.
    _ended: dict[str, list[UsageWindow]] = field(default_factory=dict)

    def record_total(
        self,
        now_s: float,
        instance: str,
        incarnation: int,
        total: int,
        count: int,
        *,
        trims_window: bool = True,
    ) -> None:
        """Record the accepted requests that an instance reports.

        :param total: requests accepted since its start.
        :param count: those of them that are in the window.
        :param trims_window: whether fewer requests are counted if the report
            tells that some have left the window.
        """
        account = self._accounts.get(instance)
        if account is None or account.incarnation != incarnation:
            self.end_incarnation(instance)
            account = self._accounts[instance] = _Account(
                incarnation=incarnation,
                total=total,
                first_total=total,
                window=UsageWindow(self.window_s),
                follows_known=instance in self._ended,
            )
            account.window.add(now_s, count)
            account.reported_count = count
            return
        account.reported_count = count
        added = total - account.total
        if added < 0 and now_s - account.granted_at_s < GRANT_SETTLE_S:
            # The report was sent before the instance counted a grant.
            return
        if added > 0:
            account.window.add(now_s, added)
        else:
            account.window.subtract(now_s, -added)
        account.total = total
        # The first report does not tell when its requests were accepted, so
        # that all of them count as new. Later ones tell how many have left.
        excess = account.window.count(now_s) - count
        if trims_window and excess > 0:
            account.window.subtract(now_s, excess)

    def record_grant(self, now_s: float, instance: str) -> None:
        """Count a request that an instance was granted."""
        account = self._accounts[instance]
        account.window.add(now_s)
        account.total += 1
        account.granted_at_s = now_s

    def set_demand(
        self,
        instance: str,
        *,
        demand_per_s: float,
        debt: float,
        unlisted: float,
    ) -> None:
        """Record the demand and the further use that an instance reports.

        :param demand_per_s: requests per second that arrive there.
        :param debt: requests in the window that its previous incarnation may
            have accepted.
        :param unlisted: requests in the window of instances on standby.
        """
        account = self._accounts.get(instance)
        if account is not None:
            account.demand_per_s = demand_per_s
            account.debt = 0.0 if account.follows_known else debt
            account.unlisted = unlisted

    def end_incarnation(self, instance: str) -> None:
        """Record that an incarnation of an instance has ended."""
        account = self._accounts.pop(instance, None)
        if account is not None:
            self._ended.setdefault(instance, []).append(account.window)

    def count_of(self, now_s: float, instance: str) -> float:
        """Return an instance's requests in the window."""
        account = self._accounts.get(instance)
        return account.window.count(now_s) if account else 0.0

    def reported_count_of(self, instance: str) -> float:
        """Return an instance's requests in the window at its last report."""
        account = self._accounts.get(instance)
        return account.reported_count if account else 0.0

    def used(self, now_s: float) -> float:
        """Return all requests in the window, as counted or as reported."""
        return self.counted(now_s) + sum(
            account.debt + account.unlisted
            for account in self._accounts.values()
        )

    def unlisted(self, now_s: float, reporting: frozenset[str]) -> float:
        """Return the requests in the window of instances without reports.

        :param reporting: instances that report their requests to all.
        """
        return sum(
            account.window.count(now_s)
            for name, account in self._accounts.items()
            if name not in reporting
        )

    def counted(self, now_s: float) -> float:
        """Return the requests that are known to be in the window."""
        used = 0.0
        for name, windows in list(self._ended.items()):
            kept = [w for w in windows if w.count(now_s) > 0]
            used += sum(window.count(now_s) for window in kept)
            if kept:
                self._ended[name] = kept
            else:
                del self._ended[name]
        return used + sum(
            account.window.count(now_s) for account in self._accounts.values()
        )

    def accepted_since_heard(self) -> float:
        """Return the requests that were accepted since the first reports."""
        return sum(a.total - a.first_total for a in self._accounts.values())

    def ages(self, now_s: float) -> list[tuple[float, float]]:
        """Return the known requests in the window by age."""
        windows = [w for ended in self._ended.values() for w in ended]
        windows += [account.window for account in self._accounts.values()]
        return [pair for window in windows for pair in window.ages(now_s)]

    def demand_per_s(self, instances: frozenset[str]) -> float:
        """Return the requests per second that arrive at these instances."""
        return sum(
            account.demand_per_s
            for name, account in self._accounts.items()
            if name in instances
        )
