"""The answer to an order is taken for the answer to another order, which a later process of the same relay was given."""

import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from rig import CannotRun, Host, call, configuration, play, route, service  # noqa: E402

SITE = "relay.example"
ROUNDS = 5
FREEZE_S = 0.6
# An operator goes on to another relay after a second of silence.
SILENCE_S = 1.0


class Operator:
    """Sends one change, unchanged, to one relay after the other until it gets a clear answer."""

    def __init__(self, rig, name, version, document, relays):
        self.rig, self.name, self.version, self.document, self.relays = rig, name, version, document, relays
        self.outcome, self.thread = None, threading.Thread(target=self.run)

    def start(self):
        self.thread.start()
        return self

    def run(self):
        body = json.dumps(self.document).encode()
        pause, until = 0.05, time.monotonic() + 10
        for relay in self.relays * 20:
            if time.monotonic() > until:
                return
            try:
                status, _, text = call(relay.address, self.rig.control, "PUT", "/-/config",
                                       {"If-Match": str(self.version), "Content-Type": "application/json"}, body, SILENCE_S)
            except OSError as error:
                status, text = type(error).__name__, b""
            self.rig.record("operator %s: PUT /-/config If-Match %d, version %d, at %s: %s %s" % (
                self.name, self.version, self.document["version"], relay.name, status, text.decode("latin-1")[:60]))
            if status in (200, 400, 409, 412, 413, 422):
                self.outcome = status
                return
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)


def status_of(rig, relay):
    status, _, text = call(relay.address, rig.control, "GET", "/-/status", {}, None, 2)
    return json.loads(text) if status == 200 else None


def is_open(ip, port):
    """Whether a process takes connections there."""
    import socket
    try:
        socket.create_connection((ip, port), 0.2).close()
        return True
    except OSError:
        return False


def case(rig, trouble):
    rig.hosts([Host(rig, "ledger")])
    rig.start()

    def document(version, timeout):
        return configuration(version, [route("r-1", SITE, "/ledger/", "ledger", timeoutMs=timeout)], [service("ledger")])

    core, plain = rig.relays[:3], rig.relays[3]
    first = Operator(rig, "first", 0, document(5, 1000), core)
    first.run()
    if first.outcome != 200:
        raise CannotRun("the first configuration was not taken")
    rig.wait_ready()
    time.sleep(2)
    breaches, version = [], 5
    for turn in range(ROUNDS):
        leaders = [relay for relay in core if status_of(rig, relay)["node"]["leads"]]
        if len(leaders) != 1:
            raise CannotRun("no leader")
        leader, others = leaders[0], [relay for relay in core if relay is not leaders[0]]
        if trouble:
            # Each round begins with a new process of the relay without a disk, that was asked nothing yet.
            plain.signal(signal.SIGKILL)
            plain.process.wait()
            plain.start()
        time.sleep(7)
        a, b = document(version + 2, 1100 + turn), document(version + 2, 1200 + turn)
        if trouble:
            leader.signal(signal.SIGSTOP)
            woken = threading.Timer(FREEZE_S, leader.signal, [signal.SIGCONT])
            woken.start()
        first = Operator(rig, "A", version, a, [plain] + others).start()
        time.sleep(0.1)
        if trouble:
            plain.signal(signal.SIGKILL)
            plain.process.wait()
            plain.start()
            while not is_open(plain.address, rig.control):
                time.sleep(0.002)
        second = Operator(rig, "B", version, b, [plain] + others).start()
        first.thread.join()
        second.thread.join()
        time.sleep(5)
        read = None
        for relay in core:
            status, _, text = call(relay.address, rig.control, "GET", "/-/config", {}, None, 2)
            rig.record("GET /-/config at %s: %d %s" % (relay.name, status, text[:300].decode()))
            if status == 200:
                read = json.loads(text)
        if read is None:
            raise CannotRun("the configuration does not come")
        if first.outcome == 200 and second.outcome == 200:
            lost = "B" if read == a else "A" if read == b else "neither is read back, and one"
            breaches.append("CONFIG: both changes on version %d were acknowledged; what is read back is not that of %s" % (
                version, lost))
        version = read["version"]
    return breaches


play(case, plain=1)
