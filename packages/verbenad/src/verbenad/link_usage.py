"""Measures the free capacity of links by querying the parts' owners."""

from collections import defaultdict
from collections.abc import Callable

from verbenad.budget_loop import BudgetLoop
from verbenad.budget_plan import link_name, link_parts
from verbenad.bus import Bus, Sender
from verbenad.directory import Directory
from verbenaworks.budget_spec import shard_of
from verbenaworks.compiled_config import CompiledConfig
from verbenaworks.link_messages import AskLinkUse, LinkUse, PartUse
from verbenaworks.shift_driver import LinkMeasurement


class LinkUsage:
    """Queries the owners of links and keeps their replies."""

    def __init__(
        self,
        *,
        loop: BudgetLoop,
        bus: Bus,
        directory: Directory,
        now_s: Callable[[], float],
    ) -> None:
        self._loop = loop
        self._bus = bus
        self._directory = directory
        self._now_s = now_s
        self._part_uses: dict[str, tuple[float, PartUse]] = {}
        bus.subscribe(AskLinkUse, self._on_query)
        bus.subscribe(LinkUse, self._on_reply)

    def ask(self, config: CompiledConfig, region: str) -> None:
        """Query the use of all links into a region."""
        by_owner: defaultdict[str, list[str]] = defaultdict(list)
        for budgets in _links_into(config, region).values():
            for budget in budgets:
                owner = self._directory.owner(shard_of(budget))
                if owner is not None:
                    by_owner[owner.bus_address].append(budget)
        for address, names in by_owner.items():
            self._bus.send(
                address,
                AskLinkUse(asked_s=self._now_s(), budgets=tuple(names)),
            )

    def measure(
        self, config: CompiledConfig, region: str
    ) -> tuple[LinkMeasurement, ...]:
        """Return the latest measurements of the links into a region."""
        now_s = self._now_s()
        measurements = []
        for link, budgets in _links_into(config, region).items():
            part_uses = [
                self._part_uses[b] for b in budgets if b in self._part_uses
            ]
            if len(part_uses) < len(budgets):
                measurements.append(LinkMeasurement(link=link))
                continue
            wanted = sum(part.wanted for _, part in part_uses)
            limit = sum(part.limit for _, part in part_uses)
            measurements.append(
                LinkMeasurement(
                    link=link,
                    free_share=1 - wanted / limit if limit else 0.0,
                    age_s=now_s - min(asked_s for asked_s, _ in part_uses),
                )
            )
        return tuple(measurements)

    def _on_query(self, sender: Sender, query: AskLinkUse) -> None:
        parts = []
        for budget in query.budgets:
            use = self._loop.demand(budget)
            if use is not None:
                wanted, limit = use
                parts.append(
                    PartUse(budget=budget, wanted=wanted, limit=limit)
                )
        self._bus.send(
            sender.address,
            LinkUse(asked_s=query.asked_s, parts=tuple(parts)),
        )

    def _on_reply(self, _sender: Sender, reply: LinkUse) -> None:
        if reply.asked_s > self._now_s():
            return
        for part in reply.parts:
            previous = self._part_uses.get(part.budget)
            if previous is None or previous[0] < reply.asked_s:
                self._part_uses[part.budget] = (reply.asked_s, part)


def _links_into(config: CompiledConfig, region: str) -> dict[str, list[str]]:
    """Return the names of the parts of each link into a region."""
    return {
        link_name(source, region): [
            part.name for part in link_parts(config, source, region)
        ]
        for source in config.regions
        if source != region
    }
