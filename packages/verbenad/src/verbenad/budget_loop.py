"""Exchanges grants with the owners of budgets, and acts as an owner."""

from collections.abc import Callable

from verbenad.budget_plan import plan_budgets
from verbenad.bus import Bus, Sender
from verbenad.directory import Directory
from verbenaworks.agreement import Agreement
from verbenaworks.budget_client import BudgetClient
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import Budget, shard_of
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.control_record import SHARD_COUNT, InstanceId
from verbenaworks.grant import GrantReply, GrantRequest
from verbenaworks.timers import Subscription, Timers

# Minimum and maximum interval between wake-ups. The maximum can be long
# because send_if_due is called after every change that makes a request due.
TICK_S = 0.02
IDLE_TICK_S = 0.25
# Longer than the validity of any grant, including its linger time.
_LONG_AGO_S = 1e6


class BudgetLoop:
    """Budget clients of all shards, and owners of this instance's shards.

    :param on_granted: called after each reply that changed a grant.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        agreement: Agreement,
        bus: Bus,
        directory: Directory,
        timers: Timers,
        on_granted: Callable[[], None],
    ) -> None:
        self._agreement = agreement
        self._bus = bus
        self._directory = directory
        self._timers = timers
        self._now_s = timers.now_s
        self._wake: Subscription | None = None
        self._wake_at_s = float("inf")
        self._on_granted = on_granted
        self._budgets: list[Budget] = []
        self._owners: dict[int, BudgetOwner] = {}
        self.clients = [
            BudgetClient(
                shard=shard,
                instance=instance.name,
                incarnation=instance.incarnation,
            )
            for shard in range(SHARD_COUNT)
        ]
        bus.subscribe(GrantRequest, self._on_request)
        bus.subscribe(GrantReply, self._on_reply)

    def client_of(self, shard: int) -> BudgetClient:
        """Return the budget client of a shard."""
        return self.clients[shard]

    def demand(self, budget: str) -> tuple[int, int] | None:
        """Return the demand for a rate budget that this instance owns."""
        owner = self._owners.get(shard_of(budget))
        return owner.demand(self._now_s(), budget) if owner else None

    def set_config(self, config: CompiledConfig) -> None:
        """Apply the budgets of a configuration."""
        self._budgets = plan_budgets(config)
        now_s = self._now_s()
        for client in self.clients:
            client.configure(now_s, self._budgets)
        for owner in self._owners.values():
            owner.configure(now_s, self._budgets)

    def start(self) -> None:
        """Send requests when they are due, from now on."""
        self._wake_by(self._now_s())

    def send_if_due(self, shard: int) -> None:
        """Send a shard's request at once if one is due, else in time.

        To be called after each change at the shard's taker.
        """
        now_s = self._now_s()
        client = self.clients[shard]
        due_at_s = client.due_at_s()
        if due_at_s <= now_s:
            self._send(shard, client, now_s)
            due_at_s = client.due_at_s()
        if due_at_s < self._wake_at_s and self._wake is not None:
            self._wake_by(max(due_at_s, now_s + TICK_S))

    def _tick(self) -> None:
        self._wake_at_s = float("inf")
        try:
            self._send_due()
        finally:
            # An exception in one client must not end the exchange for all.
            now_s = self._now_s()
            due_at_s = min(client.due_at_s() for client in self.clients)
            due_at_s = max(due_at_s, now_s + TICK_S)
            self._wake_by(min(due_at_s, now_s + IDLE_TICK_S))

    def _wake_by(self, at_s: float) -> None:
        if at_s >= self._wake_at_s:
            return
        if self._wake is not None:
            self._wake.cancel()
        self._wake_at_s = at_s
        self._wake = self._timers.after(
            max(0.0, at_s - self._now_s()), self._tick
        )

    def _send_due(self) -> None:
        now_s = self._now_s()
        for shard in range(SHARD_COUNT):
            self._update_owner(shard, now_s)
        for shard, client in enumerate(self.clients):
            if client.due_at_s() <= now_s:
                self._send(shard, client, now_s)

    def _send(self, shard: int, client: BudgetClient, now_s: float) -> None:
        owner = self._directory.owner(shard)
        if owner is None:
            return
        client.owner_changed(owner.epoch)
        request = client.next_request(now_s)
        if request is not None:
            self._bus.send(owner.bus_address, request)

    def _update_owner(self, shard: int, now_s: float) -> BudgetOwner | None:
        """Return the owner state of a shard, None if it is not owned here."""
        lease = self._agreement.lease(shard)
        known = self._owners.get(shard)
        if lease is None or not lease.is_valid(now_s):
            if lease is None or (known and known.epoch != lease.epoch):
                self._owners.pop(shard, None)
            return None
        if known is None or known.epoch != lease.epoch:
            # A lease becomes valid only once no previous owner can act. In
            # the first epoch, no grants of a previous owner can be
            # outstanding.
            since_s = now_s if lease.epoch > 1 else now_s - _LONG_AGO_S
            known = BudgetOwner(
                shard=shard, lease=lease, started_at_s=since_s, wait_s=0.0
            )
            known.configure(now_s, self._budgets)
            self._owners[shard] = known
        return known

    def _on_request(self, sender: Sender, request: GrantRequest) -> None:
        if not 0 <= request.shard < SHARD_COUNT:
            return
        # A new owner replies without waiting for its next tick.
        owner = self._update_owner(request.shard, self._now_s())
        if owner is None:
            return
        reply = owner.handle(self._now_s(), request)
        if reply is not None:
            self._bus.send(sender.address, reply)

    def _on_reply(self, _sender: Sender, reply: GrantReply) -> None:
        if not 0 <= reply.shard < SHARD_COUNT:
            return
        now_s = self._now_s()
        client = self.clients[reply.shard]
        if client.accept(now_s, reply):
            self._on_granted()
        self.send_if_due(reply.shard)
