"""State of an instance after the store was restored from a copy."""

from collections.abc import Callable
from dataclasses import replace

from steering_factories import instance, server
from verbenad.steering.steering_state import SteeringState
from verbenaworks.steering.changes import (
    Change,
    ChangeBatch,
    ConfigPublished,
    DomainEvacuationChanged,
    InstanceRegistered,
    ServerReported,
)
from verbenaworks.steering.config_freshness import ConfigFreshness
from verbenaworks.steering.held_changes import (
    EVACUATION_HOLD_S,
    REGISTRATION_HOLD_S,
)
from verbenaworks.steering.instance_directory import InstanceDirectory
from verbenaworks.steering.peer_configs import PeerConfigs
from verbenaworks.steering.server_table import ServerTable
from verbenaworks.steering.steering_config import SteeringConfig


class _World:
    """A state with a clock and timers that the test moves."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self._timers: list[tuple[float, Callable[[], None]]] = []
        own = instance("own")
        self.restarts = 0
        self.state = SteeringState(
            table=ServerTable(),
            directory=InstanceDirectory(own),
            freshness=ConfigFreshness(5.0),
            now_s=lambda: self.now_s,
            on_config=lambda config: None,
            on_registrations=lambda: None,
            on_previous_incarnation=self._count_restart,
            on_checkpoint=lambda now_s, workspace, checkpoint: None,
            local_instance=own,
            call_later=self._call_later,
        )

    def read(self, *changes: Change, restored: bool = False) -> None:
        """Apply a complete read."""
        if restored:
            self.state.record_store_recovery(self.now_s)
        self.state.apply(
            ChangeBatch(
                changes=changes,
                complete=True,
                restored=restored,
                era=int(restored),
            )
        )

    def watch(self, *changes: Change) -> None:
        """Apply changes of a watch."""
        self.state.apply(ChangeBatch(changes=changes))

    def wait(self, duration_s: float) -> None:
        """Let time pass and call the timers that are due."""
        self.now_s += duration_s
        due = [t for t in self._timers if t[0] <= self.now_s]
        self._timers = [t for t in self._timers if t[0] > self.now_s]
        for _, callback in due:
            callback()

    def _call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> None:
        self._timers.append((self.now_s + delay_s, callback))

    def _count_restart(self, now_s: float) -> None:
        self.restarts += 1


def _evacuated(domain: str = "north-a", *, on: bool = True) -> Change:
    return DomainEvacuationChanged(failure_domain=domain, evacuated=on)


def _config(version: int) -> Change:
    return ConfigPublished(
        config=SteeringConfig(version=version, routes=(), services=())
    )


def test_evacuation_that_the_copy_lacks_stays_for_a_while() -> None:
    """Guards against requests to a domain whose evacuation was lost."""
    world = _World()
    world.read(_evacuated())
    world.read(restored=True)
    assert world.state.table.evacuated == {"north-a"}
    world.wait(EVACUATION_HOLD_S)
    assert world.state.table.evacuated == set()


def test_evacuation_that_is_written_again_stays() -> None:
    """Guards against a held change that undoes a newer one."""
    world = _World()
    world.read(_evacuated())
    world.read(restored=True)
    world.watch(_evacuated())
    world.wait(EVACUATION_HOLD_S)
    assert world.state.table.evacuated == {"north-a"}
    world.watch(_evacuated(on=False))
    assert world.state.table.evacuated == set()


def test_evacuation_that_was_taken_back_does_not_return() -> None:
    """Guards against an older evacuation that a copy brings back."""
    world = _World()
    world.read()
    world.read(_evacuated(), restored=True)
    assert world.state.table.evacuated == set()
    world.watch(_evacuated(on=False))
    world.wait(EVACUATION_HOLD_S)
    assert world.state.table.evacuated == set()


def test_second_read_of_a_copy_is_held_too() -> None:
    """Guards against a complete read that follows a restore closely."""
    world = _World()
    world.read(_evacuated())
    world.read(restored=True)
    world.wait(0.5)
    world.read()
    assert world.state.table.evacuated == {"north-a"}


def test_older_configuration_of_a_copy_is_not_taken() -> None:
    """Guards against a configuration that comes back older."""
    world = _World()
    world.read(_config(7))
    world.read(_config(5), restored=True)
    assert world.state.config is not None
    assert world.state.config.version == 7
    world.read(_config(9), restored=True)
    assert world.state.config.version == 9


def test_server_that_drains_stays_out_of_use() -> None:
    """Guards against a copy in which a draining server is ready."""
    world = _World()
    world.read(ServerReported(server=server("s", draining=True, sequence=5)))
    world.read(ServerReported(server=server("s", sequence=2)), restored=True)
    assert world.state.table.usable("stock") == ()


def test_server_that_the_copy_lacks_stays_in_use_for_a_while() -> None:
    """Guards against servers that are lost until they report again."""
    world = _World()
    world.read(ServerReported(server=server("s")))
    world.read(restored=True)
    assert world.state.table.usable("stock")
    world.wait(2.0)
    assert not world.state.table.usable("stock")


def test_registration_that_ended_does_not_return() -> None:
    """Guards against callers that are sent to instances that have ended."""
    world = _World()
    world.read()
    world.read(InstanceRegistered(record=instance("gone")), restored=True)
    assert "gone" not in world.state.directory.names
    world.wait(REGISTRATION_HOLD_S)
    assert "gone" in world.state.directory.names


def test_own_registration_in_a_copy_is_no_restart() -> None:
    """Guards against rates that are reserved for a previous incarnation."""
    world = _World()
    world.read()
    own = instance("own")
    older = replace(own, incarnation=own.incarnation - 1)
    world.read(InstanceRegistered(record=older), restored=True)
    assert world.restarts == 0


def test_instance_that_starts_after_the_restore_is_known_at_once() -> None:
    """Guards against new instances that are ignored for seconds."""
    world = _World()
    world.read()
    record = replace(instance("new"), store_era=1)
    world.read(InstanceRegistered(record=record), restored=True)
    assert "new" in world.state.directory.names


def test_keys_wait_for_the_other_instances_after_a_restore() -> None:
    """Guards against a confirmation of what a copy holds."""
    freshness = ConfigFreshness(5.0)
    freshness.confirm(10.0)
    freshness.hold()
    freshness.confirm(14.0)
    assert freshness.age_s(14.0) == 0.0
    assert not freshness.is_valid(14.0)
    freshness.release()
    assert freshness.is_valid(14.0)


def test_most_instances_must_have_told_their_versions() -> None:
    """Guards against keys that are released by one uninformed instance."""
    configs = PeerConfigs()
    names = ["a", "b", "c"]
    configs.record(0.0, "c", 9)
    configs.record(2.0, "a", 7)
    assert not configs.has_heard_most(1.0, names)
    configs.record(2.1, "b", 8)
    assert configs.has_heard_most(1.0, names)
    assert configs.newest(3.0) == 9
    assert configs.holders(3.0, 7) == ["c", "b"]
    # An instance that has ended no longer counts.
    assert configs.newest(6.0) == 8
