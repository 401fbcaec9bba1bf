"""Messages between instances over pynng."""

import subprocess
import sys

_CHILD = """
import verbenad.monkey_patched
import threading
import time
import eventlet
from eventlet.patcher import original
from dataclasses import dataclass
from verbenad.bus import Bus
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
"""


def test_messages_and_locks_under_eventlet() -> None:
    """Guards against a loop that stops for ever, and against lost peers.

    pynng's callback threads used eventlet's locks, which cannot be released
    from another thread: instances stopped answering under load. A handler
    that failed ended the loop that receives all messages. Traffic that no
    message type accounts for would be invisible to operators.
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
