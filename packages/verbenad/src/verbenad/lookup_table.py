"""Looks up the entry instances that a caller should use."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from verbenaworks.block_table import BlockTable
from verbenaworks.client_blocks import BlockMatch, ClientBlocks
from verbenaworks.compiled_config import CompiledConfig, ShiftConfig
from verbenaworks.entry_lookup import (
    EntryInstance,
    EntryLookup,
    hash_block,
)
from verbenaworks.shift_plan import ShiftPlan, ShiftSpec

# States of a shift in which its blocks are routed to the target region.
_ACTIVE_STATES = frozenset({"running", "paused"})


@dataclass(frozen=True, kw_only=True, slots=True)
class LookupResult:
    """The entry instances for a caller, the best first.

    :ivar block_hash: position of the caller's block on the hash rings.
    """

    instances: tuple[EntryInstance, ...]
    block_hash: int
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _ActiveShift:
    plan: ShiftPlan
    step: int


class LookupTable:
    """Blocks, shifts and rings at one configuration revision.

    Parts that an edit did not change are reused from the earlier revision.
    """

    def __init__(self) -> None:
        self._config: CompiledConfig | None = None
        self._block_table: BlockTable | None = None
        self._blocks = ClientBlocks([])
        self._shifts: dict[str, list[_ActiveShift]] = {}
        self._emergency_plans: dict[str, ShiftPlan] = {}
        self._plans: dict[ShiftSpec, ShiftPlan] = {}
        self._rings = EntryLookup([])
        self._members: frozenset[EntryInstance] = frozenset()

    def set_config(self, config: CompiledConfig) -> None:
        """Replace the configuration."""
        if self._block_table is not config.blocks:
            self._block_table = config.blocks
            self._blocks = ClientBlocks.from_table(config.blocks)
            self._plans = {}
        if self._config is None or config.sites != self._config.sites:
            self._plans = {}
        self._config = config
        self._shifts = {}
        kept = {_shift_spec(shift) for shift in config.shifts.values()}
        kept |= {plan.spec for plan in self._emergency_plans.values()}
        self._plans = {s: p for s, p in self._plans.items() if s in kept}
        self._emergency_plans = {}
        for shift in config.shifts.values():
            if shift.state in _ACTIVE_STATES and shift.step > 0:
                active = _ActiveShift(
                    plan=self._plan(config, shift), step=shift.step
                )
                self._shifts.setdefault(shift.from_region, []).append(active)

    def set_instances(self, instances: Iterable[EntryInstance]) -> None:
        """Replace the set of existing entry instances."""
        members = frozenset(instances)
        if members != self._members:
            self._members = members
            self._rings = EntryLookup(members, self._rings)

    def find(
        self, address: str, is_usable: Callable[[str], bool]
    ) -> LookupResult:
        """Return the entry instances for an address.

        :raises VerbenaError: if the address is malformed or foreign.
        """
        match = self._blocks.find(address)
        block_hash = hash_block(match.range_start)
        region = self._region_of(match)
        order = self._region_order(region, block_hash)
        if not self._rings.has_usable(region, is_usable):
            order = order if self._may_fail_over(region, match) else []
        instances = self._rings.find(order, block_hash, is_usable)
        return LookupResult(
            instances=tuple(instances), block_hash=block_hash, region=region
        )

    def plan_of(self, shift: ShiftConfig) -> ShiftPlan | None:
        """Return the plan of a shift at this revision."""
        if self._config is None:
            return None
        return self._plan(self._config, shift)

    def _plan(self, config: CompiledConfig, shift: ShiftConfig) -> ShiftPlan:
        """Return the plan of a shift; the same object until it changes.

        The plan is cached because the shift driver reads it every second, and
        hashing and sorting 12,000 blocks takes about 30 ms.
        """
        spec = _shift_spec(shift)
        plan = self._plans.get(spec)
        if plan is None:
            plan = self._plans[spec] = self._build_plan(config, spec)
        return plan

    def _build_plan(
        self, config: CompiledConfig, spec: ShiftSpec
    ) -> ShiftPlan:
        sites = {
            name
            for name, site in config.sites.items()
            if site.region == spec.from_region
        }
        starts = (s for s, site in self._blocks.ranges() if site in sites)
        return ShiftPlan(spec, ((start, 1) for start in starts))

    def _may_fail_over(self, region: str, match: BlockMatch) -> bool:
        """Return whether a block of an unusable region moves to the others.

        The emergency cap of the region limits how many blocks move.
        """
        config = self._config
        if config is None or region not in config.regions:
            return True
        cap_share = config.regions[region].emergency_cap_share
        if cap_share >= 1.0:
            return True
        plan = self._emergency_plans.get(region)
        if plan is None:
            plan = self._plan(
                config,
                ShiftConfig(
                    name=f"emergency-{region}",
                    from_region=region,
                    to_region="",
                    cap_share=cap_share,
                    step_share=1.0,
                    state="running",
                    step=1,
                ),
            )
            self._emergency_plans[region] = plan
        return plan.is_moved(match.range_start, 1)

    def _region_of(self, match: BlockMatch) -> str:
        if self._config is None:
            return ""
        region = self._config.sites[match.site].region
        for shift in self._shifts.get(region, ()):
            if shift.plan.is_moved(match.range_start, shift.step):
                return shift.plan.spec.to_region
        return region

    def _region_order(self, region: str, block_hash: int) -> list[str]:
        """Return the caller's region, then the others in turn.

        The blocks of an unusable region are spread over the others.
        """
        regions = self._config.regions if self._config else {}
        others = sorted(name for name in regions if name != region)
        if others:
            first = block_hash % len(others)
            others = others[first:] + others[:first]
        order = [region, *others]
        return sorted(
            order, key=lambda name: name in regions and regions[name].draining
        )


def _shift_spec(shift: ShiftConfig) -> ShiftSpec:
    return ShiftSpec(
        name=shift.name,
        from_region=shift.from_region,
        to_region=shift.to_region,
        cap_share=shift.cap_share,
        step_share=shift.step_share,
    )
