"""Exchanges grants with the owners of budgets, and acts as an owner."""

from collections.abc import Callable

from verbenad.budget_plan import plan_budgets
from verbenad.bus import Bus, Sender
from verbenad.directory import Directory
from verbenaworks.agreement import Agreement
from verbenaworks.budget_owner import BudgetOwner
from verbenaworks.budget_spec import Budget, shard_of
from verbenaworks.budget_taker import BudgetTaker
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.control_record import SHARDS, InstanceId
from verbenaworks.grant import GrantReply, GrantRequest

TICK_S = 0.02
# Longer than any grant with its linger time.
_LONG_AGO_S = 1e6


class BudgetLoop:
    """Takers of all shards and owners of this instance's shards.

    :param on_granted: called after each reply that changed a grant.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        agreement: Agreement,
        bus: Bus,
        directory: Directory,
        now_s: Callable[[], float],
        on_granted: Callable[[], None],
    ) -> None:
        self._agreement = agreement
        self._bus = bus
        self._directory = directory
        self._now_s = now_s
        self._on_granted = on_granted
        self._budgets: list[Budget] = []
        self._owners: dict[int, BudgetOwner] = {}
        self.takers = [
            BudgetTaker(
                shard=shard,
                taker=instance.name,
                incarnation=instance.incarnation,
            )
            for shard in range(SHARDS)
        ]
        bus.subscribe(GrantRequest, self._on_request)
        bus.subscribe(GrantReply, self._on_reply)

    def taker_of(self, shard: int) -> BudgetTaker:
        """Return the taker of a shard."""
        return self.takers[shard]

    def demand(self, budget: str) -> tuple[int, int] | None:
        """Return the demand for a rate budget that this instance owns."""
        owner = self._owners.get(shard_of(budget))
        return owner.demand(self._now_s(), budget) if owner else None

    def set_config(self, config: CompiledConfig) -> None:
        """Put the budgets of a configuration in force."""
        self._budgets = plan_budgets(config)
        now_s = self._now_s()
        for taker in self.takers:
            taker.configure(now_s, self._budgets)
        for owner in self._owners.values():
            owner.configure(now_s, self._budgets)

    def tick(self) -> None:
        """Send what is due; call it every ``TICK_S`` seconds."""
        self._update_owners()
        now_s = self._now_s()
        for shard, taker in enumerate(self.takers):
            if taker.due_at_s() <= now_s:
                self._send(shard, taker, now_s)

    def kick(self, shard: int) -> None:
        """Send a shard's request at once if one is due."""
        now_s = self._now_s()
        taker = self.takers[shard]
        if taker.due_at_s() <= now_s:
            self._send(shard, taker, now_s)

    def _send(self, shard: int, taker: BudgetTaker, now_s: float) -> None:
        owner = self._directory.owner(shard)
        if owner is None:
            return
        taker.owner_changed(owner.epoch)
        request = taker.next_request(now_s)
        if request is not None:
            self._bus.send(owner.bus_address, request)

    def _update_owners(self) -> None:
        now_s = self._now_s()
        for shard in range(SHARDS):
            lease = self._agreement.lease(shard)
            known = self._owners.get(shard)
            if lease is None or not lease.is_valid(now_s):
                if lease is None or (known and known.epoch != lease.epoch):
                    self._owners.pop(shard, None)
                continue
            if known is None or known.epoch != lease.epoch:
                # The lease is valid only once no earlier owner can act. The
                # first epoch has no earlier owner whose grants may be left.
                since_s = now_s if lease.epoch > 1 else now_s - _LONG_AGO_S
                owner = BudgetOwner(
                    shard=shard, lease=lease, started_at_s=since_s, wait_s=0.0
                )
                owner.configure(now_s, self._budgets)
                self._owners[shard] = owner

    def _on_request(self, sender: Sender, request: GrantRequest) -> None:
        owner = self._owners.get(request.shard)
        if owner is None:
            return
        reply = owner.handle(self._now_s(), request)
        if reply is not None:
            self._bus.send(sender.address, reply)

    def _on_reply(self, _sender: Sender, reply: GrantReply) -> None:
        if not 0 <= reply.shard < SHARDS:
            return
        now_s = self._now_s()
        taker = self.takers[reply.shard]
        if taker.accept(now_s, reply):
            self._on_granted()
        self.kick(reply.shard)
