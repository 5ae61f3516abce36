"""Route names that are given anew: messages that wait go to a service that no configuration ever sent them to."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from rig import Host, configuration, play, route, service  # noqa: E402

SITE = "relay.example"
PLACES = [("/statements/", "statements"), ("/transfers/", "transfers"), ("/clearing/", "clearing")]
EACH = 8
DELAY_MS = 6000


def allowed(configurations, path):
    """The services that some configuration sends this path to: host, and the longest prefix."""
    services = set()
    for document in configurations:
        fits = [item for item in document["routes"] if path.startswith(item["pathPrefix"])]
        if fits:
            services.add(max(fits, key=lambda item: len(item["pathPrefix"]))["backend"])
    return services


def case(rig, trouble):
    hosts = [Host(rig, name) for _, name in PLACES]
    rig.hosts(hosts)
    services = [service(name) for _, name in PLACES]
    # Names as a tool that writes the whole configuration numbers them.
    first = configuration(5, [route("route-%d" % number, SITE, prefix, name)
                              for number, (prefix, name) in enumerate(PLACES, 1)], services)
    # The first route is removed. The tool numbers the others anew, or (without trouble) leaves their names.
    left = PLACES[1:]
    second = configuration(9, [route("route-%d" % (number if trouble else number + 1), SITE, prefix, name)
                               for number, (prefix, name) in enumerate(left, 1)], services)
    rig.start()
    rig.order("PUT", 0, first)
    rig.wait_ready()
    time.sleep(2)
    names = {}
    for number in range(EACH):
        for prefix, name in PLACES:
            relay = rig.relays[number % len(rig.relays)]
            identity = "m-%s-%d" % (name, number)
            status, message = rig.send(relay, identity, SITE, "%s%d" % (prefix, number), b"x" * 200,
                                       {"X-Delay-Ms": str(DELAY_MS)})
            if status == 202:
                names[identity] = message
    rig.record("accepted: %d" % len(names))
    rig.order("PUT", 5, second)
    time.sleep(DELAY_MS / 1000 + 8)
    for identity, name in names.items():
        rig.state(rig.relays[0], SITE, name)
    breaches = []
    for host in hosts:
        for _, identity, path in host.runs:
            if host.service not in allowed([first, second], path):
                breaches.append("ROUTE: service %s ran %s (%s), which configurations send to %s alone" % (
                    host.service, path, identity, ", ".join(sorted(allowed([first, second], path)))))
    return breaches


play(case)
