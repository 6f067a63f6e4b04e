"""What the nodes of a whole fleet send, by kind: counted from the trace of a night.

A kind is a share of the clients' requests, so that fleets of different sizes compare. What one node does that is harmless alone shows
here as a sum over all of them.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

BOX_HOSTS, DISCOVERY_HOSTS = "127.2.", "127.4."


@dataclass(slots=True)
class Traffic:
    """Sums over all nodes of one night."""

    requests: int = 0  # of clients, repeats of theirs counted anew
    attempts: int = 0
    repeated_attempts: int = (
        0  # attempts beyond a request's first, second requests and repeats together
    )
    handshakes: int = 0  # connections that nodes opened to boxes
    failed_dials: int = 0  # and began in vain
    max_idle_connections: int = 0  # the most that were open at once to boxes and carried no request
    discovery_connections: int = 0  # connections to discovery, one for each call or watch
    max_discovery_connections_per_s: int = 0  # the most of them within one second
    refused: int = 0
    failed: int = 0

    def per_request(self, count: int) -> float:
        """A count for each request of a client."""
        return count / max(1, self.requests)


def count_traffic(lines: Iterable[str]) -> Traffic:
    """Go through the lines of a trace (testbed/nights/simulation.py) once."""
    t = Traffic()
    open_at: set[tuple[str, str]] = set()  # node's end, box's end
    out: Counter[str] = Counter()  # attempts that boxes have not answered yet, by request
    sent: set[str] = set()
    carrying = 0
    calls: deque[int] = deque()
    for line in lines:
        words = line.split()
        if len(words) < 3:
            continue
        at_us, who, what = int(words[0]), words[1], words[2]
        if who == "client":
            if what == "asks":
                t.requests += 1
            elif what == "gets":
                t.refused += words[4] in ("429", "503")
                t.failed += words[4] not in ("200", "429", "503")
                carrying -= out.pop(words[3], 0)
            elif what == "leaves":
                carrying -= out.pop(words[3], 0)
        elif who[0] == "n" and what == "sends":
            t.attempts += 1
            t.repeated_attempts += words[3] in sent
            sent.add(words[3])
            out[words[3]] += 1
            carrying += 1
        elif who[0] == "s" and what in ("answers", "turns"):
            request = words[4] if what == "turns" else words[3]
            if out[request] > 0:
                out[request] -= 1
                carrying -= 1
        elif who[0] == "n" and len(words) == 5 and words[4].startswith(BOX_HOSTS):
            end = words[3], words[4]
            if what == "dial":
                t.failed_dials += 1
            elif what == "open":
                t.handshakes += 1
                t.failed_dials -= 1
                open_at.add(end)
            elif what in ("close", "abort", "reset"):
                open_at.discard(end)
            t.max_idle_connections = max(t.max_idle_connections, len(open_at) - max(0, carrying))
        elif (
            who[0] == "n"
            and what == "dial"
            and len(words) == 5
            and words[4].startswith(DISCOVERY_HOSTS)
        ):
            t.discovery_connections += 1
            calls.append(at_us)
            while calls[0] < at_us - 1_000_000:
                calls.popleft()
            t.max_discovery_connections_per_s = max(t.max_discovery_connections_per_s, len(calls))
    return t
