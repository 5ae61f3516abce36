"""A store that is being retired loses its disk: `completed` is told of a machine that holds messages again."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from rig import CannotRun, Host, call, configuration, play, route, service  # noqa: E402

SITE = "relay.example"
MESSAGES = 120
DELAY_MS = 30000
DEADLINE_S = 10
CONTACT_S = 4


def ended_or_kept(rig, name):
    """What is known of a message at the end: asked again and again, at all relays, for longer than `contactMs`."""
    until, turn, told = time.monotonic() + CONTACT_S + 1, 0, "nothing"
    while time.monotonic() < until:
        relay = rig.relays[turn % len(rig.relays)]
        turn += 1
        try:
            status, _, text = call(relay.address, rig.front, "GET", "/-/message-body/" + name, {"Host": SITE}, None, 2)
            if status == 200:
                return True, "its body"
            told = "body %d" % status
            status, _, text = call(relay.address, rig.front, "GET", "/-/message/" + name, {"Host": SITE}, None, 2)
            told += ", state %d" % status
            if status == 200 and json.loads(text)["state"] == "completed":
                return True, "completed"
        except OSError:
            told = "no answer"
        time.sleep(0.2)
    return False, told


def case(rig, trouble):
    host = Host(rig, "ledger", slots=50)
    rig.hosts([host])
    rig.start()
    rig.order("PUT", 0, configuration(5, [route("r-1", SITE, "/ledger/", "ledger")], [service("ledger")]))
    rig.wait_ready()
    time.sleep(5)
    retired, other = rig.stores[0], rig.stores[1]
    status, _ = rig.ask("POST", "/-/retire/" + retired.name, {"deadlineS": DEADLINE_S})
    if status != 200:
        raise CannotRun("the retirement was refused: %d" % status)
    asked_at = time.monotonic()
    if trouble:
        # The machine's disk is lost and it starts again at its address, empty.
        time.sleep(0.2)
        retired.lose_disk()
        retired.start()
    # The loss is over after catchUpS.
    time.sleep(5)
    names = {}
    for number in range(MESSAGES):
        identity = "m-%d" % number
        status, name = rig.send(rig.relays[number % len(rig.relays)], identity, SITE, "/ledger/%d" % number, b"x" * 300,
                                {"X-Delay-Ms": str(DELAY_MS)})
        if status == 202:
            names[identity] = name
    rig.record("accepted: %d" % len(names))
    time.sleep(max(0.0, asked_at + DEADLINE_S - time.monotonic()))
    until = time.monotonic() + 15
    while json.loads(rig.ask("GET", "/-/retire/" + retired.name)[1] or b"{}").get("state") != "completed":
        if time.monotonic() > until:
            raise CannotRun("the retirement did not complete")
        time.sleep(0.5)
    # It is removed at once, disk included, and does not count as a loss.
    retired.lose_disk()
    rig.nodes.remove(retired)
    # One machine's disk is lost, as is to be borne.
    other.lose_disk()
    other.start()
    time.sleep(DELAY_MS / 1000 + 6)
    ran = {identity for _, identity, _ in host.runs}
    rig.record("ran: %d of %d" % (len(ran & set(names)), len(names)))
    breaches = []
    missing = [identity for identity in names if identity not in ran]
    for identity in missing[:5]:
        is_there, told = ended_or_kept(rig, names[identity])
        rig.record("%s has not run; told of it: %s" % (identity, told))
        if not is_there:
            breaches.append("LOST: %s was accepted with 202, has not run, and its body does not return (%s)" % (
                identity, told))
    if breaches:
        rig.record("accepted and not run: %d of %d" % (len(missing), len(names)))
    return breaches


play(case, stores=4)
