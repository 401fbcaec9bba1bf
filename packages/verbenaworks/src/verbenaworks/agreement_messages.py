"""Messages between instances about the agreed state.

Polls and their answers are sent several times a second. They are encoded as
arrays without field names, which makes them three times smaller.
"""

from dataclasses import dataclass

import msgspec

from verbenaworks.control_record import InstanceId
from verbenaworks.state_delta import StateDelta
from verbenaworks.wire import wire_message


@dataclass(frozen=True, kw_only=True, slots=True)
class Resignation:
    """A writer's commitment that this incarnation never writes again.

    :param sequence: sequence of the newest state that it had applied; none
        of its writes has a higher one.
    """

    writer: InstanceId
    writers_version: int
    sequence: int


@wire_message
class StatePoll(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Asks a peer for its state and the age of its confirmation.

    :param sequence: sequence of the state that the sender has applied.
    :param tag: distinguishes states with the same sequence, which can exist
        after the store was restored to an older state.
    :param whole: the answer must contain the whole state, not a delta.
    """

    poll_id: int
    sequence: int
    tag: int
    config_revision: int
    whole: bool = False


@wire_message
class StateAnswer(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Answers a StatePoll.

    :param age_s: age of the sender's confirmation, or None if the sender is
        not fresh.
    :param attests: the sender is a writer, has no write in flight or of
        unknown outcome, and starts writes only after this answer.
    :param update: the newer state, if the receiver lacks it.
    :param store_version: version of the key that holds this state; 0 if it
        is not known.
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
    """Announces a writer's resignation to every instance."""

    resignation: Resignation


@wire_message
@dataclass(frozen=True, kw_only=True, slots=True)
class ShardsReleased:
    """Announces that an owner has permanently stopped acting on shards.

    :param shards: pairs of a shard and the epoch under which it was owned.
    """

    owner: InstanceId
    shards: tuple[tuple[int, int], ...]


AgreementMessage = StatePoll | StateAnswer | WriterResigned | ShardsReleased
