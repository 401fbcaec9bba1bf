"""Measures the free capacity of links by asking the owners of their parts."""

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
        self._parts: dict[str, tuple[float, PartUse]] = {}
        bus.subscribe(AskLinkUse, self._on_question)
        bus.subscribe(LinkUse, self._on_answer)

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
        found = []
        for link, budgets in _links_into(config, region).items():
            known = [self._parts[b] for b in budgets if b in self._parts]
            if len(known) < len(budgets):
                found.append(LinkMeasurement(link=link))
                continue
            wanted = sum(part.wanted for _, part in known)
            limit = sum(part.limit for _, part in known)
            found.append(
                LinkMeasurement(
                    link=link,
                    free_share=1 - wanted / limit if limit else 0.0,
                    age_s=now_s - min(asked_s for asked_s, _ in known),
                )
            )
        return tuple(found)

    def _on_question(self, sender: Sender, question: AskLinkUse) -> None:
        parts = []
        for budget in question.budgets:
            use = self._loop.demand(budget)
            if use is not None:
                wanted, limit = use
                parts.append(
                    PartUse(budget=budget, wanted=wanted, limit=limit)
                )
        self._bus.send(
            sender.address,
            LinkUse(asked_s=question.asked_s, parts=tuple(parts)),
        )

    def _on_answer(self, _sender: Sender, answer: LinkUse) -> None:
        if answer.asked_s > self._now_s():
            return
        for part in answer.parts:
            known = self._parts.get(part.budget)
            if known is None or known[0] < answer.asked_s:
                self._parts[part.budget] = (answer.asked_s, part)


def _links_into(config: CompiledConfig, region: str) -> dict[str, list[str]]:
    """Return the names of the parts of each link into a region."""
    return {
        link_name(source, region): [
            part.name for part in link_parts(config, source, region)
        ]
        for source in config.regions
        if source != region
    }
