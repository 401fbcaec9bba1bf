"""Messages between instances over pynng."""

import subprocess
import sys

import pytest

_CHILD = """
import verbenad.monkey_patched
import threading
import time
import eventlet
from eventlet.patcher import original
from dataclasses import dataclass
from verbenad.bus import MAX_PEERS, Bus
from verbenaworks.wire import wire_message

@wire_message
@dataclass(frozen=True, kw_only=True)
class Probe:
    number: int

def bus(name, port):
    made = Bus(name, f"127.0.0.1:{port}", time.monotonic)
    eventlet.spawn(made.serve)
    return made

first, second = bus("a", 18301), bus("b", 18302)
standard_lock = original("threading").Lock()
assert isinstance(first._inbox._pipe_notify_lock, type(standard_lock))
assert not isinstance(threading.Lock(), type(standard_lock))
got = []
def fail(sender, message):
    raise ValueError("handler")
second.subscribe(Probe, fail)
deadline = time.monotonic() + 60
while not second.failed and time.monotonic() < deadline:
    first.send("127.0.0.1:18302", Probe(number=0))
    eventlet.sleep(0.05)
second.subscribe(Probe, lambda sender, m: second.send(sender.address, m))
first.subscribe(Probe, lambda sender, m: got.append(m.number))
deadline = time.monotonic() + 60
while not got and time.monotonic() < deadline:
    first.send("127.0.0.1:18302", Probe(number=1))
    eventlet.sleep(0.05)
print("received" if got else "nothing", "failed" if second.failed else "")
second._inbox.close()
first.send_encoded("127.0.0.1:18302", b"x", Probe)
import pynng
raw = pynng.Push0(dial="tcp://127.0.0.1:18301")
raw.send(b"not a message")
while not first.malformed and time.monotonic() < deadline:
    eventlet.sleep(0.05)
print("malformed", first.malformed)
eventlet.sleep(0)
assert first.sent.messages["Probe"] >= 1
assert first.received.messages["Probe"] >= 1
assert first.received.bytes["malformed"] == len(b"not a message")
assert first.sent.total_bytes == first.sent.bytes["Probe"]
for number in range(MAX_PEERS):
    first._peer(f"10.0.{number // 256}.{number % 256}:1")
assert len(first._peers) <= MAX_PEERS
assert "127.0.0.1:18302" in first._peers
"""


def test_messages_and_locks_under_eventlet() -> None:
    """Guards against a receive loop that stops, and against lost peers.

    pynng's callback threads used eventlet's locks, which cannot be released
    from another thread, so instances stopped responding under load. An
    exception in a handler ended the loop that receives all messages. Traffic
    without a known message type would be invisible to operators. Senders
    choose their own addresses, so the state kept for them must be bounded.
    """
    result = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", _CHILD],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.split() == ["received", "failed", "malformed", "1"]


_SILENT_CHILD = """
import verbenad.monkey_patched
import socket
import sys
import time
import eventlet
from dataclasses import dataclass
from verbenad.bus import Bus
from verbenad.peer_connection import REDIAL_AFTER_S
from verbenaworks.wire import wire_message

@wire_message
@dataclass(frozen=True, kw_only=True)
class Ask:
    number: int

@wire_message
@dataclass(frozen=True, kw_only=True)
class Answer:
    number: int

def free_ports(count):
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports

first_port, proxy_port, second_port = free_ports(3)
clock = [0.0]
opened, silent = [], set()

def copy(source, target, connection):
    while data := source.recv(65536):
        if connection not in silent:
            target.sendall(data)

def forward(client, _address):
    connection = len(opened)
    opened.append(connection)
    server = eventlet.connect(("127.0.0.1", second_port))
    eventlet.spawn(copy, server, client, connection)
    copy(client, server, connection)

eventlet.spawn(
    eventlet.serve, eventlet.listen(("127.0.0.1", proxy_port)), forward
)
def bus(name, port, listen_port=None):
    return Bus(
        name,
        f"127.0.0.1:{port}",
        lambda: clock[0],
        listen_port and f"127.0.0.1:{listen_port}",
    )
first, second = bus("a", first_port), bus("b", proxy_port, second_port)
for bus in (first, second):
    eventlet.spawn(bus.serve)

asked, answered = [], []
def answer(sender, message):
    asked.append(message.number)
    second.send(sender.address, Answer(number=message.number))
second.subscribe(Ask, answer)
first.subscribe(Answer, lambda sender, m: answered.append(m.number))
second_talks = sys.argv[1] == "talks"

def until(done):
    end_s = time.monotonic() + 60
    while not done() and time.monotonic() < end_s:
        eventlet.sleep(0.01)
    return done()

def say():
    # The peer speaks by itself and does not ask for anything.
    before = first.received.messages["Answer"]
    second.send(first.address, Answer(number=-1))
    assert until(lambda: first.received.messages["Answer"] > before)

def ask(number):
    first.send(second.address, Ask(number=number))

# A quiet connection stays open however rarely it is used.
for number in range(5):
    ask(number)
    assert until(lambda: number in answered)
    clock[0] += 3 * REDIAL_AFTER_S
assert opened == [0], opened
silent.add(0)
for number in range(100, 104):
    ask(number)
    if second_talks:
        say()
    eventlet.sleep(0.05)
    clock[0] += REDIAL_AFTER_S / 4
assert not any(number in asked for number in range(100, 104))
clock[0] += 0.1
if second_talks:
    say()
ask(200)
assert until(lambda: 200 in answered)
assert opened == [0, 1], opened
print(first.redialed)
"""


@pytest.mark.parametrize("peer", ["talks", "is-quiet"])
def test_silent_connection_is_opened_anew(peer: str) -> None:
    """Guards against peers that stay unreachable over a dead connection.

    A proxy drops all bytes of the first connection, while new connections
    work. If the peer continued to send over its own connection, the bus never
    replaced the silent one.
    """
    result = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", _SILENT_CHILD, peer],
        capture_output=True,
        text=True,
        timeout=200,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.split() == ["1"]
