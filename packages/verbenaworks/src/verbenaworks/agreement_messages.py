"""Messages between instances about the agreed state.

Polls and answers are sent several times a second. They are encoded as arrays
without field names, which makes them three times smaller.
"""

from dataclasses import dataclass

import msgspec

from verbenaworks.control_record import InstanceId
from verbenaworks.state_delta import StateDelta
from verbenaworks.wire import wire_message


@dataclass(frozen=True, kw_only=True, slots=True)
class Resignation:
    """A writer's promise that this incarnation never writes again.

    :param sequence: the newest state that it had applied; none of its
        writes has a higher sequence.
    """

    writer: InstanceId
    writers_version: int
    sequence: int


@wire_message
class StatePoll(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Asks a peer for its state and its confirmation of it.

    :param sequence: the state that the asking instance has applied.
    :param tag: distinguishes states with one sequence, which exist after
        the store was restored to an older state.
    :param whole: the peer must not answer with a delta.
    """

    poll_id: int
    sequence: int
    tag: int
    config_revision: int
    whole: bool = False


@wire_message
class StateAnswer(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Answers a StatePoll.

    :param age_s: age of the answering instance's confirmation, or None if
        it has none or is not fresh.
    :param attests: the answering instance is a writer, has no write in
        flight or of unknown outcome, and starts writes only after this.
    :param update: the newer state, if the asking instance lacks it.
    :param store_version: the key's version that holds the state, if known.
    """

    poll_id: int
    incarnation: int
    sequence: int
    tag: int
    config_revision: int
    age_s: float | None
    attests: bool
    update: StateDelta | None = None
    store_version: int = 0
    resignations: tuple[Resignation, ...] = ()


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class WriterResigned:
    """Tells every instance of a resignation."""

    resignation: Resignation


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ShardsReleased:
    """The owner has stopped acting on these shards for good.

    :param shards: pairs of shard and the epoch under which it was owned.
    """

    owner: InstanceId
    shards: tuple[tuple[int, int], ...]


AgreementMessage = StatePoll | StateAnswer | WriterResigned | ShardsReleased
