"""Decision to reconnect to a peer."""

from verbenad.peer_connection import REDIAL_AFTER_S, PeerConnection

_LATE_S = REDIAL_AFTER_S + 0.1


def test_silent_connection_is_found_while_the_peer_sends() -> None:
    """Guards against replies that are lost forever.

    A peer that keeps sending over its own connection is not silent, so its
    silence cannot be what triggers the reconnection.
    """
    peer = PeerConnection(7)
    number = peer.next_number(0.0, is_answer=True)
    peer.record_frame(0.1, 1, number)
    peer.next_number(1.0, is_answer=True)
    for at_s in (2.0, 3.0, 1.0 + _LATE_S):
        assert not peer.needs_redial(at_s)
        peer.record_frame(at_s, 2, number)
    assert peer.needs_redial(1.0 + _LATE_S)
    peer.redialed()
    assert not peer.needs_redial(1.0 + _LATE_S)


def test_unanswered_message_needs_a_new_connection() -> None:
    """Guards against a connection that is silent in both directions."""
    peer = PeerConnection(0xFFFF)
    peer.next_number(0.0, is_answer=False)
    assert not peer.needs_redial(REDIAL_AFTER_S)
    assert peer.needs_redial(_LATE_S)


def test_rare_messages_keep_their_connection() -> None:
    """Guards against a new connection for each probe of a quiet peer."""
    peer = PeerConnection(0xFFFE)
    for turn in range(10):
        at_s = 10.0 * turn
        assert not peer.needs_redial(at_s)
        number = peer.next_number(at_s, is_answer=False)
        peer.record_frame(at_s + 0.1, 2 * turn, number)
        # A later request of the peer does not acknowledge this reply yet.
        peer.record_frame(at_s + 5, 2 * turn + 1, number)
        peer.next_number(at_s + 5, is_answer=True)


def test_acknowledgement_of_a_part_keeps_the_connection() -> None:
    """Guards against a new connection to a peer that lags a little."""
    peer = PeerConnection(0xFFF0)
    numbers = [peer.next_number(n * 0.1, is_answer=True) for n in range(40)]
    for n in range(20):
        peer.record_frame(n * 0.1 + 1.0, n, numbers[n])
    assert not peer.needs_redial(4.0)
    # Numbers of an earlier process, and nothing of the later half.
    peer.record_frame(5.1, 20, (numbers[0] - 1000) & 0xFFFF)
    assert peer.needs_redial(5.1)
