"""Requests of one workspace in the window, by the instance that took them."""

from dataclasses import dataclass, field

from verbenaworks.steering.usage_window import UsageWindow

# A grant is answered, counted and reported within this time.
GRANT_SETTLES_S = 1.0


@dataclass(kw_only=True, slots=True)
class _Account:
    """What is known of one run of an instance.

    :ivar total: its accepted requests, as it said or as was granted.
    :ivar follows_known: whether the use of the run before is counted.
    :ivar told_count: its requests in the window when it last told.
    """

    incarnation: int
    total: int
    window: UsageWindow
    follows_known: bool
    demand_per_s: float = 0.0
    debt: float = 0.0
    told_count: float = 0.0
    granted_at_s: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class RateLedger:
    """The fleet's use of one workspace's rate, as one instance knows it.

    :ivar window_s: length of the window.
    """

    window_s: float
    _accounts: dict[str, _Account] = field(default_factory=dict)
    # What ended runs have used stays until it leaves the window.
    _ended: dict[str, list[UsageWindow]] = field(default_factory=dict)

    def note(
        self,
        now_s: float,
        instance: str,
        incarnation: int,
        total: int,
        count: int,
    ) -> None:
        """Enter what an instance says that it has accepted.

        :param total: since its start.
        :param count: in the window; used where the instance is new here.
        """
        account = self._accounts.get(instance)
        if account is None or account.incarnation != incarnation:
            if account is not None and account.incarnation > incarnation:
                return
            self.end(instance)
            account = self._accounts[instance] = _Account(
                incarnation=incarnation,
                total=total,
                window=UsageWindow(self.window_s),
                follows_known=instance in self._ended,
            )
            account.window.add(now_s, count)
            account.told_count = count
            return
        account.told_count = count
        added = total - account.total
        if added < 0 and now_s - account.granted_at_s < GRANT_SETTLES_S:
            # The instance has not yet counted what was granted to it.
            return
        if added:
            account.window.add(now_s, added)
            account.total = total

    def grant(self, now_s: float, instance: str) -> None:
        """Count a request that an instance was allowed to accept."""
        account = self._accounts[instance]
        account.window.add(now_s)
        account.total += 1
        account.granted_at_s = now_s

    def set_demand(
        self, instance: str, demand_per_s: float, debt: float
    ) -> None:
        """Enter what else an instance reports.

        :param demand_per_s: requests that arrive there.
        :param debt: what an earlier run may have used of the window.
        """
        account = self._accounts.get(instance)
        if account is not None:
            account.demand_per_s = demand_per_s
            account.debt = 0.0 if account.follows_known else debt

    def end(self, instance: str) -> None:
        """Enter that a run of an instance has ended."""
        account = self._accounts.pop(instance, None)
        if account is not None:
            self._ended.setdefault(instance, []).append(account.window)

    def count_of(self, now_s: float, instance: str) -> float:
        """Return an instance's requests in the window."""
        account = self._accounts.get(instance)
        return account.window.count(now_s) if account else 0.0

    def told_count_of(self, instance: str) -> float:
        """Return an instance's requests in the window when it last told."""
        account = self._accounts.get(instance)
        return account.told_count if account else 0.0

    def used(self, now_s: float) -> float:
        """Return all requests in the window, with those that may be there."""
        return self.counted(now_s) + sum(
            account.debt for account in self._accounts.values()
        )

    def counted(self, now_s: float) -> float:
        """Return the requests that are known to lie in the window."""
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

    def ages(self, now_s: float) -> list[tuple[float, float]]:
        """Return the known requests in the window by their age."""
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
