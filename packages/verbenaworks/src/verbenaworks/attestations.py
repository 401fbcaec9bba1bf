"""The writers' attestations that one instance holds."""

from verbenaworks.agreement_messages import Resignation
from verbenaworks.control_record import ControlRecord, InstanceId


class Attestations:
    """Newest attestation of each writer, and the writers' resignations."""

    def __init__(self) -> None:
        self._attested: dict[InstanceId, tuple[tuple[int, int], float]] = {}
        self._resigned: dict[InstanceId, Resignation] = {}

    def attest(
        self, writer: InstanceId, mark: tuple[int, int], sent_at_s: float
    ) -> None:
        """Record that a writer attested a state.

        :param mark: sequence and tag of the state.
        :param sent_at_s: when the writer was asked.
        """
        held = self._attested.get(writer)
        if held is None or held[1] < sent_at_s:
            self._attested[writer] = (mark, sent_at_s)

    def resign(self, resignation: Resignation) -> None:
        """Record a writer's promise never to write again."""
        self._resigned[resignation.writer] = resignation

    def resignations(self, control: ControlRecord) -> tuple[Resignation, ...]:
        """Return the promises of writers on the current list."""
        return tuple(
            resignation
            for resignation in self._resigned.values()
            if resignation.writers_version == control.writers_version
            and control.is_writer(resignation.writer)
        )

    def confirmed_by(
        self, control: ControlRecord, mark: tuple[int, int]
    ) -> tuple[float, ...] | None:
        """Return when each writer was asked, or None if one is missing.

        At least one writer must have attested, because nobody can tell
        whether a list on which all have resigned was replaced.
        """
        promised = {
            r.writer
            for r in self.resignations(control)
            if r.sequence <= mark[0]
        }
        times_s: list[float] = []
        for writer in control.writers:
            held = self._attested.get(writer.instance)
            if held is not None and held[0] == mark:
                times_s.append(held[1])
            elif writer.instance not in promised:
                return None
        return tuple(times_s) or None
