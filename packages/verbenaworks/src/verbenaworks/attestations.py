"""Attestations by the writers, as recorded at one instance."""

from verbenaworks.agreement_messages import Resignation
from verbenaworks.control_record import ControlRecord, InstanceId


class Attestations:
    """The newest attestation and the resignation of each writer."""

    def __init__(self) -> None:
        self._attestations: dict[
            InstanceId, tuple[tuple[int, int], float]
        ] = {}
        self._resigned: dict[InstanceId, Resignation] = {}

    def attest(
        self, writer: InstanceId, state_id: tuple[int, int], sent_at_s: float
    ) -> None:
        """Record that a writer attested that a state is the newest.

        :param state_id: sequence and tag of the state.
        :param sent_at_s: when the poll to the writer was sent.
        """
        attestation = self._attestations.get(writer)
        if attestation is None or attestation[1] < sent_at_s:
            self._attestations[writer] = (state_id, sent_at_s)

    def resign(self, resignation: Resignation) -> None:
        """Record the resignation of a writer."""
        self._resigned[resignation.writer] = resignation

    def resignations(self, control: ControlRecord) -> tuple[Resignation, ...]:
        """Return the resignations of writers on the current list."""
        return tuple(
            resignation
            for resignation in self._resigned.values()
            if resignation.writers_version == control.writers_version
            and control.is_writer(resignation.writer)
        )

    def confirming_times_s(
        self, control: ControlRecord, state_id: tuple[int, int]
    ) -> tuple[float, ...] | None:
        """Return the send times of the polls that confirm a state.

        Every writer on the list must have attested the state or resigned.
        At least one of them must have attested: if all had resigned, the
        list could have been replaced without this instance knowing.

        :return: one time for each attestation, or None if the state is not
            confirmed.
        """
        resigned = {
            r.writer
            for r in self.resignations(control)
            if r.sequence <= state_id[0]
        }
        times_s: list[float] = []
        for writer in control.writers:
            attestation = self._attestations.get(writer.instance)
            if attestation is not None and attestation[0] == state_id:
                times_s.append(attestation[1])
            elif writer.instance not in resigned:
                return None
        return tuple(times_s) or None
