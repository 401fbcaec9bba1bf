"""When the connection to a peer is opened anew."""

from verbenad.peer_connection import REDIAL_AFTER_S, PeerConnection

_LATE_S = REDIAL_AFTER_S + 0.1


def test_silent_connection_is_found_while_the_peer_sends() -> None:
    """Guards against answers that are lost for ever.

    The rule was silence of the peer, and a peer that goes on sending over a
    connection of its own is not silent.
    """
    link = PeerConnection(7)
    number = link.number(0.0, is_answer=True)
    link.heard(0.1, 1, number)
    link.number(1.0, is_answer=True)
    for at_s in (2.0, 3.0, 1.0 + _LATE_S):
        assert not link.needs_redial(at_s)
        link.heard(at_s, 2, number)
    assert link.needs_redial(1.0 + _LATE_S)
    link.redialed()
    assert not link.needs_redial(1.0 + _LATE_S)


def test_unanswered_message_needs_a_new_connection() -> None:
    """Guards against a connection that is silent in both directions."""
    link = PeerConnection(0xFFFF)
    link.number(0.0, is_answer=False)
    assert not link.needs_redial(REDIAL_AFTER_S)
    assert link.needs_redial(_LATE_S)


def test_rare_messages_keep_their_connection() -> None:
    """Guards against a new connection for each probe of a quiet peer."""
    link = PeerConnection(0xFFFE)
    for turn in range(10):
        at_s = 10.0 * turn
        assert not link.needs_redial(at_s)
        number = link.number(at_s, is_answer=False)
        link.heard(at_s + 0.1, 2 * turn, number)
        # The peer asks a little later; it has not seen this answer yet.
        link.heard(at_s + 5, 2 * turn + 1, number)
        link.number(at_s + 5, is_answer=True)


def test_acknowledgement_of_a_part_keeps_the_connection() -> None:
    """Guards against a new connection to a peer that lags a little."""
    link = PeerConnection(0xFFF0)
    numbers = [link.number(n * 0.1, is_answer=True) for n in range(40)]
    for n in range(20):
        link.heard(n * 0.1 + 1.0, n, numbers[n])
    assert not link.needs_redial(4.0)
    # Numbers of an earlier process, and nothing of the later half.
    link.heard(5.1, 20, (numbers[0] - 1000) & 0xFFFF)
    assert link.needs_redial(5.1)
